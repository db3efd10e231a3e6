/* Configurations for unit tests.  */
#ifndef FIXTURE_H
#define FIXTURE_H

#include "resource/document.h"

/* Returns a snapshot of the resources in JSON, a list of
   {"kind","name","spec"}.  Every fault found is added to FAULTS; if there is
   one, the snapshot must not be used.  The caller releases it.  */
struct snapshot *fixture_snapshot (const char *json, struct faults *faults);
/* Returns a snapshot with the regions "north" and "south", joined by a link of
   10 ms latency, and the service "shop" with UPSTREAMS upstreams of SLOTS
   slots in each of them, named n0, n1, ... and s0, s1, ...  SERVICE_FIELDS is
   added to the service's spec, with ' in place of ", and starts with a comma
   unless it is empty.  The caller releases the snapshot.  */
struct snapshot *fixture_shop (int upstreams, int slots,
                               const char *service_fields);

#endif
