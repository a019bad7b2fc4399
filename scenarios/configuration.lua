-- Concurrent changes with equal versions: one succeeds and the other is told which change succeeded. A change that is sent again
-- returns its first outcome. The active version never decreases, also when all replicas and entries are killed and restarted.
-- Errors in a questionnaire are reported with file, line and key.
local cluster = require("cluster")
local c = cluster.new({ replicas = 3, entries = 2, agents = 1, state = "snapshot-entries = 10\n" })
c:start()
local a = host.write("a.ini", cluster.questionnaire("mizutama", "pondkeep", 2, "share = 2\n"))
local b = host.write("b.ini", cluster.questionnaire("mizutama", "pondkeep", 2, "share = 3\n"))
local code_a, out_a = c:ctl({ "apply", a, "--change", "change-a", "--json" }, 1)
local code_b, out_b = c:ctl({ "apply", b, "--change", "change-b", "--json" }, 2)
check(code_a == 0 and code_b == 1, "not exactly one change succeeded: " .. out_a .. out_b)
check(out_b:find("change%-a"), "the conflict does not name the successful change: " .. out_b)
for _ = 1, 3 do
    local code, out = c:ctl({ "apply", a, "--change", "change-a", "--json" }, 2)
    check(code == 0 and out == out_a, "a repeated change returned a different outcome: " .. out)
end
for version = 3, 40 do
    local code, out = c:ctl({ "apply", host.write("v.ini", cluster.questionnaire("mizutama", "pondkeep", version)) }, version % 2 + 1)
    check(code == 0, "version " .. version .. ": " .. out)
end
local code, out = c:ctl({ "apply", a, "--change", "change-a", "--json" }, 1)
check(code == 0 and out == out_a, "the change id was forgotten: " .. out)
c:await_agents(1)
local bad = { { "[team]\nname = x\nversion = 1\n[service s]\nurgencey = high\n", "bad.ini:5: service s.urgencey: unknown key" },
    { "[team]\nname = x\nversion = 1\n[service s]\nurgency = huge\n", "bad.ini:5: service s.urgency: allowed: one of low" },
    { "[team]\nname = x\n[service s]\n", "team.version: allowed:" } }
for _, it in ipairs(bad) do
    local bad_code, bad_out = c:ctl({ "plan", host.write("bad.ini", it[1]) })
    check(bad_code == 2 and bad_out:find(it[2], 1, true), "unexpected error report: " .. bad_out)
end
for i = 1, 3 do host.signal("state" .. i, "KILL"); host.wait("state" .. i, 5000) end
for i = 1, 2 do host.signal("entry" .. i, "KILL"); host.wait("entry" .. i, 5000) end
for i = 1, 3 do c:start_replica(i) end
for i = 1, 2 do c:start_entry(i) end
eventually("ready again", function() return host.http("GET", "http://" .. c.entries[1].http .. "/readyz") == 200 end)
local status = eventually("a status", function() return c:status(1) end)
check(status.configuration_version == 40, "version " .. status.configuration_version)
c:await_agents(1)
c:stop()
