-- Unrepeatable requests run at most once, even if the upstream closes the connection without a response; repeatable ones are
-- retried within their budget. A request that was refused without having run is dispatched again. The same key with other
-- content is rejected.
local cluster = require("cluster")
local c = cluster.new({ replicas = 1, entries = 2, agents = 2 })
c:start()
local function request(entry, body) return host.http("POST", "http://" .. c.entries[entry].callers .. "/v1/services/pondkeep/requests", body) end
local refill = '{"team":"mizutama","key":"refill-7","input":"refill run_ms=20"}'
local code, first = request(1, refill)
check(code == 200, "status " .. tostring(code) .. " " .. tostring(first))
local again_code, again = request(2, refill)
check(again_code == 200 and again == first, "another answer: " .. tostring(again))
check(c:starts().starts == 1, "the request ran twice")
local conflict, problem = request(1, '{"team":"mizutama","key":"refill-7","input":"other"}')
check(conflict == 409 and host.json(problem).verdict == "not-run", "other content: " .. tostring(problem))

c:fault(1, "close")
c:fault(2, "close")
for i = 1, 5 do
    local status, text = request(1, ('{"team":"mizutama","key":"closed-%d","input":"x"}'):format(i))
    check(status == 502 and host.json(text).verdict == "may-have-run", "closed: " .. tostring(text))
end
check(c:starts().starts == 6 and c:starts().doubled == 0, "a request was retried after its connection was closed: " .. c:starts().starts)
c:fault(1, "none")
c:fault(2, "none")
eventually("served again", function()
    return request(2, ('{"team":"mizutama","key":"probe-%d","input":"run_ms=5","repeatable":true}'):format(host.now())) == 200
end)
c:fault(1, "refuse")
c:fault(2, "refuse")
local refused = host.start_call("POST", "http://" .. c.entries[1].callers .. "/v1/services/pondkeep/requests", '{"team":"mizutama","key":"later","input":"run_ms=5"}')
host.sleep(300)
c:fault(1, "none")
c:fault(2, "none")
local later = host.finish_call(refused)
check(later == 200, "a task that was refused as not run was not dispatched again: " .. tostring(later))
c:stop()
