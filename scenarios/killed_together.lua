-- The owner and an agent are killed at the same time during a job. No surviving process knows which tasks the agent started, so
-- the job must fail without a repeated start, and jobs submitted later must be served.
local cluster = require("cluster")
local c = cluster.new({ replicas = 3, entries = 3, agents = 3 })
c:start()
local owner = c:owner("pondkeep")
local other = owner % 3 + 1
local body = c:job(90, 400)
local waiting = c:start_submit(other, "mizutama", "both", body)
eventually("tasks run", function() return c:starts().starts >= 24 end)
host.signal("entry" .. owner, "KILL")
host.signal("agent2", "KILL")
local code, text = host.finish_call(waiting)
local answer = host.json(text)
check(code == 200 and answer and answer.state == "failed", "the job did not fail: " .. tostring(text))
for _, task in ipairs(answer.tasks) do check(task.output == nil, "a failed job returned a task output") end
local starts = c:starts()
check(starts.doubled == 0 and starts.starts <= 90, ("starts=%d doubled=%d"):format(starts.starts, starts.doubled))
host.wait("agent2", 5000)
c:start_agent(2)
c:await_agents(3, other)
local again_code, again = c:submit(other, "mizutama", "next", c:job(30, 50))
check(again_code == 200, "status " .. tostring(again_code))
c:check_complete(again, "mizutama", "next", 30, 50)
