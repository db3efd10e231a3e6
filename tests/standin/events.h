/* Event file of a stand-in: one line for each thing it did or saw, which the
   soak test evaluates after the run.

     events_open (option (argc, argv, "--events", NULL));
     events_write ("run %s", id);

   A line starts with the wall-clock time in microseconds.  */
#ifndef EVENTS_H
#define EVENTS_H

/* Opens PATH for appending.  With NULL, or if it can't be opened, later calls
   of events_write do nothing.  */
void events_open (const char *path);
/* Appends one line; FORMAT has no newline.  */
void events_write (const char *format, ...)
    __attribute__ ((format (printf, 1, 2)));

#endif
