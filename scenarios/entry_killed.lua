-- Guards against lost or repeated tasks on failover: the owner of the service is killed during a job whose caller waits at another
-- entry. The job must complete without a repeated start, and a repeated submission at either entry must return the same answer.
local cluster = require("cluster")
local c = cluster.new({ replicas = 1, entries = 2, agents = 3 })
c:start()
local owner = c:owner("pondkeep")
local other = 3 - owner
local body = c:job(120, 300)
local waiting = c:start_submit(other, "mizutama", "crack", body)
local direct = c:start_submit(owner, "mizutama", "crack", body)
eventually("tasks run", function() return c:starts().starts >= 30 end)
host.signal("entry" .. owner, "KILL")
local code, answer = host.finish_call(waiting)
check(code == 200, "status " .. tostring(code) .. " " .. tostring(answer))
c:check_complete(answer, "mizutama", "crack", 120, 300)
local lost = host.finish_call(direct)
check(lost == nil, "the killed entry answered")
local starts = c:starts()
check(starts.starts == 120 and starts.doubled == 0, ("starts=%d doubled=%d"):format(starts.starts, starts.doubled))
host.wait("entry" .. owner, 5000)
c:start_entry(owner)
eventually("the restarted entry is ready", function() return host.http("GET", "http://" .. c.entries[owner].http .. "/readyz") == 200 end)
for _, entry in ipairs({ owner, other }) do
    local again_code, again = c:submit(entry, "mizutama", "crack", body)
    check(again_code == 200 and again == answer, "a repeated submission returned a different answer: " .. tostring(again))
end
check(c:starts().starts == 120, "a repeated submission started a task")
c:stop()
