-- Guards against requests cut off by a planned stop: an entry and a replica are stopped with SIGTERM during jobs. The entry must
-- hand over its service, and every job must complete without a repeated start.
local cluster = require("cluster")
local c = cluster.new({ replicas = 3, entries = 2, agents = 3 })
c:start()
local calls = {}
for i = 1, 6 do calls[i] = c:start_submit(i % 2 + 1, "mizutama", "job" .. i, c:job(60, 200)) end
eventually("tasks run", function() return c:starts().starts >= 24 end)
local owner = c:owner("pondkeep")
host.signal("entry" .. owner, "TERM")
local leader = c:status(3 - owner).group.leader
host.signal("state" .. leader, "TERM")
for i, call in ipairs(calls) do
    local code, answer = host.finish_call(call)
    check(code == 200, "job" .. i .. ": status " .. tostring(code) .. " " .. tostring(answer))
    c:check_complete(answer, "mizutama", "job" .. i, 60, 200)
end
check(host.wait("entry" .. owner, 20000) == 0, "the entry did not exit with code 0")
check(host.wait("state" .. leader, 20000) == 0, "the replica did not exit with code 0")
local starts = c:starts()
check(starts.starts == 360 and starts.doubled == 0, ("starts=%d doubled=%d"):format(starts.starts, starts.doubled))
