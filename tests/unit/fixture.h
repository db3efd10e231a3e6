/* A small configuration for unit tests.  */
#ifndef FIXTURE_H
#define FIXTURE_H

#include "resource/document.h"

/* Builds a snapshot from a JSON list of {"kind","name","spec"}; every fault
   is added to FAULTS, in which case the snapshot must not be used.  */
struct snapshot *fixture_snapshot (const char *json, struct faults *faults);
/* Two regions 10 ms apart, service "shop" with UPSTREAMS upstreams of SLOTS
   slots in the first and as many in the second.  */
struct snapshot *fixture_shop (int upstreams, int slots,
                               const char *service_fields);

#endif
