-- Sends 10,000 malformed requests from a fixed seed. Each must get a 4xx response with the verdict "not-run", without a task
-- being started, and the entry must keep serving. CI runs this against a build with sanitizers.
local cluster = require("cluster")
local c = cluster.new({ replicas = 1, entries = 1, agents = 1 })
c:start()
math.randomseed(20261204)
local base = "http://" .. c.entries[1].callers
local long = string.rep("x", 70000)
local bodies = { "", "{", "[]", "null", '{"service":"pondkeep"}', '{"service":"pondkeep","tasks":[]}', '{"service":1,"tasks":[{"index":0,"input":"a"}]}',
    '{"service":"pondkeep","tasks":[{"index":0,"input":"a"},{"index":0,"input":"b"}]}', '{"service":"pondkeep","tasks":[{"index":-1,"input":"a"}]}',
    '{"service":"pondkeep","tasks":[{"index":0,"input":5}]}', '{"service":"pondkeep","tasks":[{"input":"a"}]}', '{"service":"pondkeep","tasks":{}}',
    '{"service":"pondkeep","tasks":[{"index":0,"input":"a","extra":1}]}', '{"service":"none","tasks":[{"index":0,"input":"a"}]}',
    '{"service":"pondkeep","tasks":[{"index":0,"input":"' .. long .. '"}]}', '{"service":"pondkeep","tasks":[{"index":1.5,"input":"a"}]}',
    '{"service":"pondkeep","tasks":[{"index":99999999999,"input":"a"}]}', c:job(841, 1), "\0\1\2\255", '{"service":"pondkeep","tasks":[{"index":0,"input":"a","cores":100000}]}' }
local paths = { "/v1/teams/mizutama/submissions/bad", "/v1/teams/mizutama/submissions/" .. string.rep("a", 97), "/v1/teams/../submissions/x",
    "/v1/teams/nobody/submissions/x", "/v1/services/pondkeep/requests", "/v1/nothing", "/v1/teams/mizutama/submissions/bad?wait=x",
    "/v1/teams/mizutama/submissions/bad?wait=99999" }
local methods = { "PUT", "POST", "DELETE", "PATCH", "PUT" }
local answered = 0
for n = 1, 10000 do
    local path, method, body = paths[math.random(#paths)], methods[math.random(#methods)], bodies[math.random(#bodies)]
    if math.random(4) == 1 and #body > 1 then body = body:sub(1, math.random(#body - 1)) end
    local code, text = host.http(method, base .. path, body, {}, 10000)
    check(code and code >= 400 and code < 500, ("%s %s: %s %s"):format(method, path, tostring(code), tostring(text)))
    local problem = host.json(text)
    check(problem and problem.verdict == "not-run", "no verdict: " .. tostring(text))
    answered = answered + 1
end
check(c:starts().starts == 0, "a malformed request started a task")
check(host.http("PUT", base .. "/v1/teams/mizutama/submissions/big", string.rep("y", 5000000)) == 413, "an oversized body was accepted")
local code, answer = c:submit(1, "mizutama", "good", c:job(840, 1))
check(code == 200, "status " .. tostring(code))
c:check_complete(answer, "mizutama", "good", 840, 1)
c:stop()
print("malformed=" .. answered)
