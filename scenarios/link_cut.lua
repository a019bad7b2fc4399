-- Network faults between entries and agents during jobs: first all connections are reset, as by a restart of a switch, then the
-- links of one agent are cut for longer than the lease, without any connection being closed.
local cluster = require("cluster")
local c = cluster.new({ replicas = 1, entries = 2, agents = 3, links = true, delay = 1500 })
c:start()
local waiting = c:start_submit(1, "mizutama", "reset", c:job(150, 100))
for _ = 1, 3 do
    host.sleep(150)
    for _, agent in ipairs(c.agents) do
        for _, link in pairs(agent.links) do host.reset_link(link.name) end
    end
end
local code, answer = host.finish_call(waiting)
check(code == 200, "status " .. tostring(code))
c:check_complete(answer, "mizutama", "reset", 150, 100)
check(c:starts().starts == 150, "starts " .. c:starts().starts)

local second = c:start_submit(2, "mizutama", "cut", c:job(100, 300))
eventually("tasks run", function() return c:starts().starts >= 170 end)
for _, link in pairs(c.agents[1].links) do host.cut(link.name, true) end
local cut_code, cut_text = host.finish_call(second)
local cut_answer = host.json(cut_text)
check(cut_code == 200 and cut_answer.state == "failed", "the job did not fail: " .. tostring(cut_text))
for _, link in pairs(c.agents[1].links) do host.cut(link.name, false) end
c:await_agents(3)
local third_code, third = c:submit(1, "mizutama", "after", c:job(60, 50))
check(third_code == 200, "status " .. tostring(third_code))
c:check_complete(third, "mizutama", "after", 60, 50)
check(c:starts().doubled == 0, "a task was started twice")
c:stop()
