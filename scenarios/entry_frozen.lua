-- Guards against starts by a superseded owner: the owner is stopped with SIGSTOP during a job for longer than its lease and then
-- resumed, twice. It must start nothing after it resumes.
local cluster = require("cluster")
local c = cluster.new({ replicas = 1, entries = 2, agents = 3 })
c:start()
local total = 0
for round = 1, 2 do
    local owner = c:owner("pondkeep")
    local id, n = "frozen" .. round, 100
    local waiting = c:start_submit(3 - owner, "mizutama", id, c:job(n, 250))
    eventually("tasks run", function() return c:starts().starts >= total + 25 end)
    host.signal("entry" .. owner, "STOP")
    local code, answer = host.finish_call(waiting)
    host.signal("entry" .. owner, "CONT")
    check(code == 200, "status " .. tostring(code))
    c:check_complete(answer, "mizutama", id, n, 250)
    host.sleep(1500)
    total = total + n
    local starts = c:starts()
    check(starts.starts == total and starts.doubled == 0, ("starts=%d doubled=%d"):format(starts.starts, starts.doubled))
end
c:stop()
