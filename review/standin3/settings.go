package main

// settingsText is the settings file of a process of a small deployment.
const settingsText = `node = %q
role = "jobs"
machine_class = "frontend"
serves = ["frontend"]
ip = "127.0.0.1"
zone = "zone-%d"
region = "region"
internal_port_range = [%d, %d]
discovery = "platform"
entry = "vip"
heartbeat_ms = 500
orders = "invoke"
advice = %q
[listen]
front = %q
ready = %q
control = "127.0.0.1:%d"
[limits]
cpu_share = 0.4
cores = 1
memory_mb = 284
max_fds = 4100
link_mbps = 1000.0
[bounds]
contact_ms = 3000
ack_ms = 4000
drain_ms = 2000
grace_s = 6
loss_slack_ms = 200
config_apply_ms = 2000
evacuate_ms = 5000
recovery_s = 12
hold_max_ms = %d
stop_ms = 900
gang_ms = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
far_x = 1.5
notice_ms = 4500
require_fence = true
lease_ms = 3000
pace_ms = 100
harm_ms = 4000
[platform]
address = %q
form = "log"
record_bytes = 262144
call_bytes = 2097152
[cloud]
address = %q
rate_per_s = 60.0
duty_per_s = 60.0
`
