-- The main use case: with the questionnaires of both deployments, a job of 100 tasks is submitted concurrently through two
-- entries, and both callers must get the same answer.
local cluster = require("cluster")
local c = cluster.new({ replicas = 3, entries = 2, agents = 4,
    questionnaires = { host.read("examples/mizutama.ini"), host.read("examples/kosztomierz.ini") } })
c:start()
local body = c:job(100, 50)
local first = c:start_submit(1, "mizutama", "lining-checks", body)
local second = c:start_submit(2, "mizutama", "lining-checks", body)
local code1, answer1 = host.finish_call(first)
local code2, answer2 = host.finish_call(second)
check(code1 == 200 and code2 == 200, "status " .. tostring(code1) .. " and " .. tostring(code2))
check(answer1 == answer2, "the two callers got different answers")
c:check_complete(answer1, "mizutama", "lining-checks", 100, 50)
local starts = c:starts()
c:stop()
print(("starts=%d doubled=%d answer=%s"):format(starts.starts, starts.doubled + starts.starts - 100, host.json(answer1).state))
