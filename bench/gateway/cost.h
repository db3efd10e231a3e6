/* Processor time of the gateway's decisions and housekeeping, measured with
   fleets of 300 and 3,000 upstreams.  */
#ifndef BENCH_GATEWAY_COST_H
#define BENCH_GATEWAY_COST_H

/* Prints a "figure" line for each measurement.  Targets: 20 us for a choice
   and at most five times as long among ten times as many upstreams, and a
   hundredth of a core for what goes on without requests.  */
void cost_print (void);

#endif
