-- The owner of the service is killed in the middle of a job whose caller waits at another entry: the job ends whole, and no
-- task starts twice. Then the job is asked for again, at both entries.
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
    check(again_code == 200 and again == answer, "another answer when asked again: " .. tostring(again))
end
check(c:starts().starts == 120, "started again when asked again")
c:stop()
