-- Guards against data loss in the state group: a replica restarts with an empty disk under its old id and must not take part. A
-- replacement joins, then a second replica is killed, and the stored jobs must still be complete.
local cluster = require("cluster")
local c = cluster.new({ replicas = 3, entries = 1, agents = 1, state = "election-timeout-ms = 300\n" })
c:start()
for i = 1, 20 do
    local code = c:submit(1, "mizutama", "job" .. i, c:job(2, 10))
    check(code == 200, "status " .. tostring(code))
end
host.signal("state3", "KILL")
host.wait("state3", 5000)
c.replicas[3].data = "state3-empty"
c:start_replica(3)
host.sleep(1000)
local added = { name = "state4", listen = "127.0.0.1:" .. host.free_port(), http = "127.0.0.1:" .. host.free_port(), id = 4, joined = true }
c.replicas[4] = added
c:start_replica(4, "join = yes\n")
eventually("the replacement is accepted", function() return c:ctl({ "replace", "4", added.listen, "3" }) == 0 end)
eventually("the replacement votes and the old one is gone", function()
    local status = c:status()
    if not status then return false end
    local ids = {}
    for _, it in ipairs(status.group.replicas) do ids[it.id] = it.voter end
    return ids[4] and ids[3] == nil
end)
host.signal("state3", "KILL")
host.signal("state2", "KILL")
-- The entry reads the replicas' addresses from its settings at start, so it is restarted to learn the new one.
host.signal("entry1", "KILL")
host.wait("entry1", 5000)
c:start_entry(1)
for i = 1, 20 do
    local code, text
    eventually("job" .. i .. " is found", function()
        code, text = host.http("GET", c:url(1, "mizutama", "job" .. i, "?wait=5"))
        return code == 200
    end)
    c:check_complete(text, "mizutama", "job" .. i, 2, 10)
end
local code = c:submit(1, "mizutama", "after", c:job(2, 10))
check(code == 200, "status " .. tostring(code))
