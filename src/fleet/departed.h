/* Memory of what has left, by name, for a minute.

   A store that comes back from an older copy lists again what had left since
   the copy was made.  Such a record isn't news of it:

     departed_add (departed, id, incarnation, now);   when it leaves
     if (departed_find (departed, id, &incarnation))  when it is listed again
       ...
     departed_forget (departed, id);                  when it is there again
     departed_expire (departed, now);                 several times a second

   Units: microseconds.  Threads: one thread.  */
#ifndef FLEET_DEPARTED_H
#define FLEET_DEPARTED_H

#include "base/str.h"

#include <apr_time.h>
#include <stdbool.h>
#include <stdint.h>

struct departed;

/* Creates an empty memory; the heap holds what it remembers.  */
struct departed *departed_create (void);
/* Frees DEPARTED, which may be NULL.  */
void departed_destroy (struct departed *departed);
/* Remembers that INCARNATION of NAME has left.  */
void departed_add (struct departed *departed, struct str name,
                   int64_t incarnation, apr_time_t now);
/* Returns whether NAME has left, and which INCARNATION of it.  */
bool departed_find (struct departed *departed, struct str name,
                    int64_t *incarnation);
void departed_forget (struct departed *departed, struct str name);
/* Forgets what left more than a minute ago.  */
void departed_expire (struct departed *departed, apr_time_t now);

#endif
