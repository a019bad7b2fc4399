-- Guards against work sent to an upstream that leaves: after its announcement it gets no new tasks after 2 s, and jobs continue
-- without it. The same holds for an agent that is stopped with SIGTERM.
local cluster = require("cluster")
local c = cluster.new({ replicas = 1, entries = 1, agents = 3 })
c:start()
local function starts_of(i)
    local _, body = host.http("GET", "http://" .. c.agents[i].upstream .. "/v1/starts")
    return host.json(body).starts
end
local waiting = c:start_submit(1, "mizutama", "long", c:job(400, 150))
eventually("upstream 1 works", function() return starts_of(1) >= 16 end)
host.signal("up1", "TERM")
check(host.wait("up1", 20000) == 0, "the upstream did not exit with code 0")
eventually("upstream 2 works", function() return starts_of(2) >= 16 end)
host.signal("agent2", "TERM")
check(host.wait("agent2", 30000) == 0, "the agent did not exit with code 0")
local last = starts_of(2)
local code, answer = host.finish_call(waiting)
check(code == 200, "status " .. tostring(code))
c:check_complete(answer, "mizutama", "long", 400, 150)
check(starts_of(2) == last, "a task started after the agent left")
c:stop()
