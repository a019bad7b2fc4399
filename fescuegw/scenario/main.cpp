// fescuegw-scenario: runs one Lua scenario against a cluster of real processes.
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>

#include <lua.hpp>
#include <nlohmann/json.hpp>
#include <sys/stat.h>

#include "fescuegw/scenario/Host.h"

using namespace fescuegw;
using nlohmann::json;

namespace {

scenario::Host& host(lua_State* state) { return **static_cast<scenario::Host**>(lua_getextraspace(state)); }

std::vector<std::string> readStringList(lua_State* state, int position)
{
    std::vector<std::string> list;
    if (!lua_istable(state, position))
        return list;
    const auto n = static_cast<lua_Integer>(lua_rawlen(state, position));
    for (lua_Integer i = 1; i <= n; ++i) {
        lua_rawgeti(state, position, i);
        list.emplace_back(luaL_checkstring(state, -1));
        lua_pop(state, 1);
    }
    return list;
}

Duration readMilliseconds(lua_State* state, int position)
{
    return std::chrono::milliseconds(luaL_checkinteger(state, position));
}

// Runs `body` and converts its exceptions to Lua errors.
template <typename Body> int withExceptionsAsErrors(lua_State* state, Body body)
{
    std::string what;
    try {
        return body();
    } catch (const std::exception& error) {
        what = error.what();
    }
    return luaL_error(state, "%s", what.c_str());
}

int spawn(lua_State* state)
{
    return withExceptionsAsErrors(state, [state] {
        host(state).spawn(luaL_checkstring(state, 1), luaL_checkstring(state, 2), readStringList(state, 3));
        return 0;
    });
}

int sendSignal(lua_State* state)
{
    static const std::map<std::string, int> signals { { "TERM", SIGTERM }, { "KILL", SIGKILL }, { "STOP", SIGSTOP },
        { "CONT", SIGCONT } };
    return withExceptionsAsErrors(state, [state] {
        host(state).signal(luaL_checkstring(state, 1), signals.at(luaL_checkstring(state, 2)));
        return 0;
    });
}

int waitFor(lua_State* state)
{
    return withExceptionsAsErrors(state, [state] {
        lua_pushinteger(state, host(state).wait(luaL_checkstring(state, 1), readMilliseconds(state, 2)));
        return 1;
    });
}

int alive(lua_State* state)
{
    return withExceptionsAsErrors(state, [state] {
        lua_pushboolean(state, host(state).alive(luaL_checkstring(state, 1)) ? 1 : 0);
        return 1;
    });
}

int run(lua_State* state)
{
    return withExceptionsAsErrors(state, [state] {
        const auto result = host(state).run(luaL_checkstring(state, 1), readStringList(state, 2));
        lua_pushinteger(state, result.first);
        lua_pushlstring(state, result.second.data(), result.second.size());
        return 2;
    });
}

http::ClientRequest readRequest(lua_State* state)
{
    http::ClientRequest request;
    request.method = luaL_checkstring(state, 1);
    request.url = luaL_checkstring(state, 2);
    size_t size = 0;
    const char* body = luaL_optlstring(state, 3, "", &size);
    request.body.assign(body, size);
    request.headers = readStringList(state, 4);
    request.timeout = std::chrono::milliseconds(luaL_optinteger(state, 5, 70000));
    return request;
}

// Pushes the status and the body, or nil, the verdict and the detail of the error. Returns the number of values pushed.
int pushResponse(lua_State* state, const Result<http::ClientResponse>& response)
{
    if (!response) {
        lua_pushnil(state);
        lua_pushstring(state, std::string(toString(response.error().verdict)).c_str());
        lua_pushstring(state, response.error().detail.c_str());
        return 3;
    }
    lua_pushinteger(state, response->status);
    lua_pushlstring(state, response->body.data(), response->body.size());
    return 2;
}

int callHttp(lua_State* state)
{
    return withExceptionsAsErrors(state, [state] {
        http::Client client;
        return pushResponse(state, client.call(readRequest(state)));
    });
}

int startCall(lua_State* state)
{
    return withExceptionsAsErrors(state, [state] {
        lua_pushinteger(state, static_cast<lua_Integer>(host(state).startCall(readRequest(state))));
        return 1;
    });
}

int finishCall(lua_State* state)
{
    return withExceptionsAsErrors(
        state, [state] { return pushResponse(state, host(state).finishCall(static_cast<size_t>(luaL_checkinteger(state, 1)))); });
}

int writeFile(lua_State* state)
{
    return withExceptionsAsErrors(state, [state] {
        const std::string path = host(state).folder() + "/" + luaL_checkstring(state, 1);
        std::ofstream(path, std::ios::trunc) << luaL_checkstring(state, 2);
        chmod(path.c_str(), 0600);
        lua_pushstring(state, path.c_str());
        return 1;
    });
}

int readFile(lua_State* state)
{
    return withExceptionsAsErrors(state, [state] {
        std::ifstream stream(luaL_checkstring(state, 1), std::ios::binary);
        std::ostringstream content;
        content << stream.rdbuf();
        lua_pushlstring(state, content.str().data(), content.str().size());
        return 1;
    });
}

int freePort(lua_State* state)
{
    lua_pushinteger(state, relay::freePort());
    return 1;
}

int sleepFor(lua_State* state)
{
    std::this_thread::sleep_for(readMilliseconds(state, 1));
    return 0;
}

int nowMs(lua_State* state)
{
    lua_pushinteger(state, static_cast<lua_Integer>(toMicros(monotonicNow()) / 1000));
    return 1;
}

int addLink(lua_State* state)
{
    return withExceptionsAsErrors(state, [state] {
        const auto listen = settings::parseAddress(luaL_checkstring(state, 2));
        const auto target = settings::parseAddress(luaL_checkstring(state, 3));
        host(state).link(
            luaL_checkstring(state, 1), listen.value(), target.value(), std::chrono::microseconds(luaL_optinteger(state, 4, 0)));
        return 0;
    });
}

int cutLink(lua_State* state)
{
    return withExceptionsAsErrors(state, [state] {
        host(state).findLink(luaL_checkstring(state, 1)).setCut(lua_toboolean(state, 2) != 0);
        return 0;
    });
}

int resetLink(lua_State* state)
{
    return withExceptionsAsErrors(state, [state] {
        host(state).findLink(luaL_checkstring(state, 1)).reset();
        return 0;
    });
}

void pushJson(lua_State* state, const json& value)
{
    if (value.is_object()) {
        lua_newtable(state);
        for (const auto& it : value.items()) {
            pushJson(state, it.value());
            lua_setfield(state, -2, it.key().c_str());
        }
    } else if (value.is_array()) {
        lua_newtable(state);
        for (size_t i = 0; i < value.size(); ++i) {
            pushJson(state, value[i]);
            lua_rawseti(state, -2, static_cast<lua_Integer>(i) + 1);
        }
    } else if (value.is_string()) {
        lua_pushstring(state, value.get<std::string>().c_str());
    } else if (value.is_boolean()) {
        lua_pushboolean(state, value.get<bool>() ? 1 : 0);
    } else if (value.is_number_integer()) {
        lua_pushinteger(state, value.get<lua_Integer>());
    } else if (value.is_number()) {
        lua_pushnumber(state, value.get<double>());
    } else {
        lua_pushnil(state);
    }
}

// Returns the value of a JSON document, or nil if the text isn't valid JSON.
int decodeJson(lua_State* state)
{
    size_t size = 0;
    const char* text = luaL_checklstring(state, 1, &size);
    const json value = json::parse(text, text + size, nullptr, false);
    pushJson(state, value.is_discarded() ? json() : value);
    return 1;
}

int digest(lua_State* state)
{
    size_t size = 0;
    const char* text = luaL_checklstring(state, 1, &size);
    lua_pushstring(state, contentDigest({ text, size }).c_str());
    return 1;
}

int folder(lua_State* state)
{
    lua_pushstring(state, host(state).folder().c_str());
    return 1;
}

constexpr luaL_Reg functions[] = { { "spawn", spawn }, { "signal", sendSignal }, { "wait", waitFor }, { "alive", alive },
    { "run", run }, { "http", callHttp }, { "start_call", startCall }, { "finish_call", finishCall }, { "write", writeFile },
    { "read", readFile }, { "free_port", freePort }, { "sleep", sleepFor }, { "now", nowMs }, { "link", addLink },
    { "cut", cutLink }, { "reset_link", resetLink }, { "json", decodeJson }, { "digest", digest }, { "folder", folder },
    { nullptr, nullptr } };

int runScript(const std::string& script, scenario::Host& processes)
{
    lua_State* state = luaL_newstate();
    *static_cast<scenario::Host**>(lua_getextraspace(state)) = &processes;
    luaL_openlibs(state);
    luaL_newlib(state, functions);
    lua_setglobal(state, "host");
    const std::string library = std::filesystem::path(script).parent_path().string() + "/lib/?.lua";
    lua_getglobal(state, "package");
    lua_pushstring(state, library.c_str());
    lua_setfield(state, -2, "path");
    lua_pop(state, 1);
    const bool failed = luaL_dofile(state, script.c_str()) != LUA_OK;
    if (failed)
        std::cout << "FAILED " << script << ": " << lua_tostring(state, -1) << '\n';
    lua_close(state);
    return failed ? 1 : 0;
}

} // namespace

int main(int argc, char** argv)
{
    if (argc != 3) {
        std::cerr << "usage: fescuegw-scenario PROGRAMS SCRIPT\n";
        return 2;
    }
    std::signal(SIGPIPE, SIG_IGN);
    http::initialiseClients();
    std::string folderName = std::filesystem::temp_directory_path() / "fescuegw-XXXXXX";
    if (mkdtemp(folderName.data()) == nullptr)
        return 1;
    int code = 1;
    {
        scenario::Host processes(argv[1], folderName);
        code = runScript(argv[2], processes);
    }
    // The files of a failed scenario are kept for inspection.
    if (code == 0)
        std::filesystem::remove_all(folderName);
    else
        std::cout << "files: " << folderName << '\n';
    return code;
}
