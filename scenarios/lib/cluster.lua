-- A cluster of real processes on the loopback interface for scenarios: state replicas, entries, agents and fake upstreams.
local cluster = {}
cluster.__index = cluster

local function address() return "127.0.0.1:" .. host.free_port() end

-- Fails the scenario with the message `what` unless `condition` holds.
function check(condition, what)
    if not condition then error(what, 2) end
end

-- Polls `probe` until it returns a true value, which is returned. Fails the scenario after `limit` milliseconds (30000 by
-- default). The limit only bounds a failing run; it asserts nothing about speed.
function eventually(what, probe, limit)
    local last = host.now() + (limit or 30000)
    while true do
        local result = probe()
        if result then return result end
        check(host.now() < last, "timed out after " .. (limit or 30000) .. " ms: " .. what)
        host.sleep(20)
    end
end

-- Options: replicas, entries, agents (counts), service, slots, questionnaires (texts), links (true: agents reach entries
-- through relays that can cut and reset connections), delay (one-way, microseconds), state (extra lines of [replica]).
function cluster.new(options)
    local self = setmetatable({ options = options, replicas = {}, entries = {}, agents = {}, questionnaires = {} }, cluster)
    host.run("fescuectl", { "keygen", host.folder() .. "/keys" })
    host.write("token", "operators-token")
    for i = 1, options.replicas or 1 do
        self.replicas[i] = { name = "state" .. i, listen = address(), http = address() }
    end
    for i = 1, options.entries or 1 do
        self.entries[i] = { name = "entry" .. i, listen = address(), http = address(), callers = address() }
    end
    for i = 1, options.agents or 1 do
        self:add_agent()
    end
    return self
end

local function process_section(name, domain, http_address)
    return ("[process]\nname = %s\ndomain = %s\nhttp = %s\nkeys = %s\n"):format(name, domain, http_address, host.folder() .. "/keys")
end

function cluster:add_agent(options)
    options = options or {}
    local i = #self.agents + 1
    local agent = { name = "agent" .. i, http = address(), upstream = address(), service = options.service or self.options.service or "pondkeep",
        slots = options.slots or self.options.slots or 8, links = {} }
    self.agents[i] = agent
    if self.options.links then
        for _, entry in ipairs(self.entries) do
            local listen = address()
            agent.links[entry.name] = { name = agent.name .. "-" .. entry.name, listen = listen }
            host.link(agent.links[entry.name].name, listen, entry.listen, self.options.delay or 0)
        end
    end
    return agent
end

function cluster:start_replica(i, lines)
    local replica = self.replicas[i]
    local text = process_section(replica.name, "domain" .. i, replica.http)
        .. ("[replica]\nid = %d\nlisten = %s\ndata = %s\n%s\n[group]\n"):format(replica.id or i, replica.listen, host.folder() .. "/" .. (replica.data or replica.name),
            (lines or "") .. (self.options.state or ""))
    for j, other in ipairs(self.replicas) do
        if not other.joined then text = text .. ("%d = %s\n"):format(j, other.listen) end
    end
    host.spawn(replica.name, "fescuegw-state", { "--settings", host.write(replica.name .. ".ini", text) })
end

function cluster:start_entry(i, lines)
    local entry = self.entries[i]
    local text = process_section(entry.name, "domain" .. i, entry.http)
        .. ("[entry]\nlisten = %s\ncallers = %s\noperator-token = %s\nbalancer-grace-ms = 100\n%s\n[state]\n"):format(entry.listen, entry.callers,
            host.folder() .. "/token", lines or "")
    for j, replica in ipairs(self.replicas) do text = text .. ("%d = %s\n"):format(j, replica.listen) end
    host.spawn(entry.name, "fescuegw-entry", { "--settings", host.write(entry.name .. ".ini", text) })
end

function cluster:start_agent(i)
    local agent = self.agents[i]
    local text = process_section(agent.name, "domain" .. ((i - 1) % 4 + 1), agent.http) .. (agent.trace and ("trace-file = " .. agent.trace .. "\n") or "") .. "[entries]\n"
    for _, entry in ipairs(self.entries) do
        local link = agent.links[entry.name]
        text = text .. ("%s = %s\n"):format(entry.name, link and link.listen or entry.listen)
    end
    host.spawn(agent.name, "fescuegw-agent", { "--settings", host.write(agent.name .. ".ini", text) })
end

function cluster:start_upstream(i)
    local agent = self.agents[i]
    local text = ("[upstream up%d]\nservice = %s\nlisten = %s\nagent = %s\nslots = %d\n"):format(i, agent.service, agent.upstream, agent.http, agent.slots)
    host.spawn("up" .. i, "fescuegw-standin", { "--settings", host.write("up" .. i .. ".ini", text) })
end

function cluster:start()
    for i in ipairs(self.replicas) do self:start_replica(i) end
    for i in ipairs(self.entries) do self:start_entry(i) end
    for i in ipairs(self.agents) do
        self:start_upstream(i)
        self:start_agent(i)
    end
    for _, entry in ipairs(self.entries) do
        eventually(entry.name .. " is ready", function() return host.http("GET", "http://" .. entry.http .. "/readyz") == 200 end)
    end
    for n, text in ipairs(self.options.questionnaires or { cluster.questionnaire("mizutama", "pondkeep", 1) }) do
        local code, output = self:ctl({ "apply", host.write("questionnaire" .. n .. ".ini", text) })
        check(code == 0, "apply: " .. output)
    end
    self:await_agents(#self.agents)
end

function cluster.questionnaire(team, service, version, lines)
    return ("[team]\nname = %s\nversion = %d\n%s[service %s]\nurgency = high\nrepeats = some\nrun-time-ms = 50\n"):format(team, version, lines or "", service)
end

function cluster:ctl(arguments, entry)
    local all = { table.unpack(arguments) }
    for _, it in ipairs({ "--entry", self.entries[entry or 1].http, "--callers", self.entries[entry or 1].callers, "--token", host.folder() .. "/token" }) do
        all[#all + 1] = it
    end
    return host.run("fescuectl", all)
end

function cluster:status(entry)
    local code, body = host.http("GET", "http://" .. self.entries[entry or 1].http .. "/v1/status", "", { "Authorization: Bearer operators-token" }, 5000)
    return code == 200 and host.json(body) or nil
end

-- Waits until `entry` reports at least one service and at least `n` serving agents with the current configuration version.
function cluster:await_agents(n, entry)
    eventually(n .. " agents serve", function()
        local status = self:status(entry)
        if not status or #status.services == 0 then return false end
        local serving = 0
        for _, it in ipairs(status.agents) do
            if it.state == "serving" and it.configuration_version == status.configuration_version then serving = serving + 1 end
        end
        return serving >= n
    end)
end

-- Returns the index of the entry that owns `service` and the epoch of the ownership, as reported by entry `asked`.
function cluster:owner(service, asked)
    local status = self:status(asked)
    for _, it in ipairs(status and status.services or {}) do
        if it.service == service then return tonumber(it.owner:match("^entry(%d+)/")), it.epoch end
    end
end

function cluster:job(n, run_ms, service)
    local tasks = {}
    for i = 0, n - 1 do tasks[#tasks + 1] = ('{"index":%d,"input":"task %d run_ms=%d"}'):format(i, i, run_ms) end
    return ('{"service":"%s","tasks":[%s]}'):format(service or self.options.service or "pondkeep", table.concat(tasks, ","))
end

function cluster:url(entry, team, id, query)
    return ("http://%s/v1/teams/%s/submissions/%s%s"):format(self.entries[entry].callers, team, id, query or "")
end

function cluster:submit(entry, team, id, body, query)
    return host.http("PUT", self:url(entry, team, id, query), body)
end

function cluster:start_submit(entry, team, id, body, query)
    return host.start_call("PUT", self:url(entry, team, id, query), body)
end

-- Fails unless `body` is the complete answer of a job made by `job` and each output belongs to its task.
function cluster:check_complete(body, team, id, n, run_ms)
    local answer = host.json(body)
    check(answer and answer.state == "complete", "not complete: " .. tostring(body))
    check(answer.team == team and answer.id == id, "answer of another job: " .. body)
    check(#answer.tasks == n, "partial answer: " .. #answer.tasks .. " of " .. n)
    for i, task in ipairs(answer.tasks) do
        local input = ("task %d run_ms=%d"):format(i - 1, run_ms)
        check(task.output == ("%s/%s/%d:%s"):format(team, id, i - 1, host.digest(input)), "output of another task: " .. task.output)
    end
end

-- Returns the task starts counted by the fake upstreams, summed over upstreams: all starts, distinct tasks, and repeated
-- starts of a task at the same upstream.
function cluster:starts()
    local sum = { starts = 0, doubled = 0, distinct = 0 }
    for _, agent in ipairs(self.agents) do
        local code, body = host.http("GET", "http://" .. agent.upstream .. "/v1/starts")
        if code == 200 then
            local counts = host.json(body)
            sum.starts = sum.starts + counts.starts
            sum.doubled = sum.doubled + counts.doubled
            sum.distinct = sum.distinct + counts.distinct
        end
    end
    return sum
end

function cluster:fault(i, name)
    check(host.http("PUT", "http://" .. self.agents[i].upstream .. "/v1/fault", name) == 200, "fault " .. name)
end

-- Stops all processes with SIGTERM. Fails unless every process exits with code 0.
function cluster:stop()
    local function stop(name)
        host.signal(name, "TERM")
        local code = host.wait(name, 30000)
        check(code == 0, name .. " exited with " .. code)
    end
    for i in ipairs(self.agents) do
        if host.alive("up" .. i) then host.signal("up" .. i, "TERM") end
    end
    for i, agent in ipairs(self.agents) do
        if host.alive("up" .. i) then stop("up" .. i) end
        if host.alive(agent.name) then stop(agent.name) end
    end
    for _, entry in ipairs(self.entries) do if host.alive(entry.name) then stop(entry.name) end end
    for _, replica in ipairs(self.replicas) do if host.alive(replica.name) then stop(replica.name) end end
end

return cluster
