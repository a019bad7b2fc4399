-- Guards against loss of acknowledged results: the leader of the state group is killed repeatedly while jobs are submitted. All
-- returned answers and the configuration must be unchanged afterwards.
local cluster = require("cluster")
local c = cluster.new({ replicas = 3, entries = 2, agents = 3, state = "election-timeout-ms = 300\n" })
c:start()
local answers, n = {}, 0
for round = 1, 4 do
    local calls = {}
    for i = 1, 10 do
        n = n + 1
        local id = "job" .. n
        calls[id] = c:start_submit(i % 2 + 1, "mizutama", id, c:job(5, 20))
    end
    host.sleep(30)
    local leader = eventually("a leader", function() local s = c:status(); return s and s.group.leader end)
    host.signal("state" .. leader, "KILL")
    host.wait("state" .. leader, 5000)
    for id, call in pairs(calls) do
        local code, text = host.finish_call(call)
        check(code == 200, id .. ": status " .. tostring(code) .. " " .. tostring(text))
        c:check_complete(text, "mizutama", id, 5, 20)
        answers[id] = text
    end
    c:start_replica(leader)
end
for id, text in pairs(answers) do
    local code, again = host.http("GET", c:url(1, "mizutama", id))
    check(code == 200 and again == text, id .. " was lost or changed: " .. tostring(again))
end
check(c:status().configuration_version == 1, "the configuration changed")
local starts = c:starts()
check(starts.starts == 5 * n and starts.doubled == 0, ("starts=%d of %d doubled=%d"):format(starts.starts, 5 * n, starts.doubled))
c:stop()
