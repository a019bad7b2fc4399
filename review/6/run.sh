#!/usr/bin/env bash
# A machine of the core is replaced according to plan, and the final fault follows: two machines lose their disks right after a
# change was acknowledged. With TROUBLE=0 the final fault does not come.
set -euo pipefail
source "$(dirname "$0")/../standin-2/group.sh"
prepare

# The bounds of the site, in seconds. Machines start 10 s before traffic.
lead=10
catch_up=4
recovery=12
contact_window=3
down=1

for it in 1 2 3 4 5; do
  start_core $it yes
done
change 1 20 1 2 3 4 5 || exit 2
sleep $lead

note "planned replacement: core6 is added"
start_core 6
# Until then the new machine counts as lost; from then on the one that it replaces no longer counts.
sleep $((catch_up + 2))
note "planned replacement: core5 gets SIGTERM and does not come back"
remove_core 5
change 2 10 1 2 3 4 6 || exit 2

if [ "${TROUBLE:-1}" != 0 ]; then
  note "final fault: core3 and core4 lose power and their disks"
  lose_disk 3
  lose_disk 4
  sleep $down
  start_core 3
  start_core 4
  note "core3 and core4 are back with empty disks"
fi
if read_back 2 $((3 * recovery + contact_window)) 1 2 3 4 6; then
  note "held"
  finish 0
fi
change 3 5 1 2 3 4 6 || true
note "BROKEN: LOST, CONFIG: the acknowledged configuration does not come"
grep -h 'member_\|role_changed\|leader_' "$work"/core[12346].out | tail -40 >> "$record" || true
finish 1
