# Entries that are not among the seeds (e3, e4) and that the platform's VM list
# doesn't name become known to all others through the membership.  Guards against
# entries that are only ever found through the seeds or the list.
. tests/session/deployment.sh
start_platform
start_entry 1 north-a north
start_entry 2 north-b north
start_entry 3 south-a south
start_entry 4 south-a south
for i in 1 2 3 4; do
  export CITRONCLEAT_ENTRY=127.23.0.$i:7800
  wait_for 5 all_serving 4 && echo "e$i knows all four"
done
membership_confirmed () { ! client status | grep -q '^unconfirmed'; }
wait_for 5 membership_confirmed && echo "all have confirmed the membership"
