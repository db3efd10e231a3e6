# Entries that share no seed, and that the platform's list does not name, find
# each other through the membership.
. tests/session/deployment.sh
start_platform
start_entry 1 north-a north
start_entry 2 north-b north
start_entry 3 south-a south
start_entry 4 south-a south
for i in 1 2 3 4; do
  export CITRONCLEAT_ENTRY=127.23.0.$i:7800
  wait_for 5 all_alive 4 && echo "e$i knows all four"
done
confirmed () { ! client status | grep -q '^unconfirmed'; }
wait_for 5 confirmed && echo "all have confirmed the membership"
