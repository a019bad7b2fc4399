-- Guards against incomplete cancellation: when many jobs are cancelled at once, pending tasks must never start, running tasks
-- must be stopped, and the jobs must end as failed.
local cluster = require("cluster")
local c = cluster.new({ replicas = 1, entries = 2, agents = 2 })
c:start()
local calls = {}
for i = 1, 10 do calls[i] = c:start_submit(i % 2 + 1, "mizutama", "job" .. i, c:job(50, 2000)) end
-- A job whose submission is still on its way is unknown, and cancelling it is refused.
for i = 1, 10 do
    eventually("job " .. i .. " is accepted", function()
        local code = host.http("GET", c:url(i % 2 + 1, "mizutama", "job" .. i, "?wait=0"))
        return code == 200 or code == 202
    end)
end
eventually("tasks run", function() return c:starts().starts >= 16 end)
local cancels = {}
for i = 1, 10 do cancels[i] = host.start_call("DELETE", c:url(i % 2 + 1, "mizutama", "job" .. i)) end
for i = 1, 10 do
    local code, text = host.finish_call(cancels[i])
    check(code == 200 and host.json(text).state == "failed", "cancel " .. i .. ": " .. tostring(text))
    local wait_code, wait_text = host.finish_call(calls[i])
    check(wait_code == 200 and wait_text == text, "the waiting caller got a different answer: " .. tostring(wait_text))
end
local before = c:starts().starts
host.sleep(2500)
check(c:starts().starts == before, "a task started after the cancellation")
local code, answer = c:submit(1, "mizutama", "after", c:job(20, 20))
check(code == 200, "status " .. tostring(code))
c:check_complete(answer, "mizutama", "after", 20, 20)
check(host.http("DELETE", c:url(1, "mizutama", "after")) == 409, "a finished job was cancelled")
check(host.http("DELETE", c:url(1, "mizutama", "none")) == 404, "an unknown job was cancelled")
c:stop()
