-- Measures how long a configuration change takes to reach every agent and prints the times of three changes. The environment
-- variable AGENTS sets the number of agents (10 by default).
local cluster = require("cluster")
local n = tonumber(os.getenv("AGENTS") or "10")
local c = cluster.new({ replicas = 3, entries = 2, agents = n })
c:start()
local times = {}
for version = 2, 4 do
    local file = host.write("next.ini", cluster.questionnaire("mizutama", "pondkeep", version))
    local before = host.now()
    local code, out = c:ctl({ "apply", file })
    check(code == 0, out)
    eventually("in force everywhere", function()
        local status = c:status()
        if not status or status.configuration_version < version then return false end
        local reached = 0
        for _, it in ipairs(status.agents) do reached = reached + (it.configuration_version >= version and 1 or 0) end
        return reached >= n
    end)
    times[#times + 1] = host.now() - before
end
c:stop()
print(("agents=%d in_force_ms=%s"):format(n, table.concat(times, ",")))
