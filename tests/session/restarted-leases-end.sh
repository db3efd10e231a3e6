# As the last part of restarted-upstream.sh, with leases of which some run out while the store
# is silent, so that for a time entries know different others.  Guards against
# shares of a cold upstream's requests that add up to more than it may get.
lease_ms=3600
leases_end=yes
. tests/session/restarted-upstream.sh
