#include "standin/scenario_script.h"

#include "standin/virtual_cell.h"

#include <array>
#include <lua.hpp>
#include <memory>
#include <optional>

namespace lacewinglock
{

namespace
{

/// State of the scenario that a Lua state runs. The Lua state's extra space holds a pointer to it.
struct scenario
{
    lua_State *lua = nullptr;
    std::unique_ptr<virtual_cell> cell;
    std::map<std::string, std::shared_ptr<virtual_call>> calls;
    int callCount = 0;
    scenario_result result;
};

scenario &scenarioOf(lua_State *lua)
{
    return **static_cast<scenario **>(lua_getextraspace(lua));
}

virtual_cell &cellOf(lua_State *lua)
{
    auto &run = scenarioOf(lua);
    if (!run.cell) {
        luaL_error(lua, "no cell exists: call cell{} before other functions");
    }
    return *run.cell;
}

duration secondsAt(lua_State *lua, int index)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(luaL_checknumber(lua, index)));
}

std::string textAt(lua_State *lua, int index)
{
    return luaL_checkstring(lua, index);
}

std::vector<std::string> namesAt(lua_State *lua, int index)
{
    if (lua_isstring(lua, index) != 0) {
        return {textAt(lua, index)};
    }
    luaL_checktype(lua, index, LUA_TTABLE);
    std::vector<std::string> names;
    for (lua_Integer item = 1; lua_rawgeti(lua, index, item) != LUA_TNIL; ++item) {
        names.emplace_back(luaL_checkstring(lua, -1));
        lua_pop(lua, 1);
    }
    lua_pop(lua, 1);
    return names;
}

double numberField(lua_State *lua, const char *name, double fallback)
{
    lua_getfield(lua, 1, name);
    const double value = lua_isnil(lua, -1) ? fallback : luaL_checknumber(lua, -1);
    lua_pop(lua, 1);
    return value;
}

std::string textField(lua_State *lua, const char *name, const char *fallback)
{
    lua_getfield(lua, 1, name);
    std::string value = lua_isnil(lua, -1) ? fallback : luaL_checkstring(lua, -1);
    lua_pop(lua, 1);
    return value;
}

int pushText(lua_State *lua, const std::string &text)
{
    lua_pushstring(lua, text.c_str());
    return 1;
}

int createCell(lua_State *lua)
{
    luaL_checktype(lua, 1, LUA_TTABLE);
    const auto count = [&](const char *name, int fallback) {
        return static_cast<int>(numberField(lua, name, fallback));
    };
    const cell_options defaults;
    scenarioOf(lua).cell = std::make_unique<virtual_cell>(cell_options{
        .seed = static_cast<std::uint64_t>(count("seed", 1)),
        .daemons = count("daemons", defaults.daemons),
        .domains = count("domains", defaults.domains),
        .engines = count("engines", defaults.engines),
        .reclaimable = count("reclaimable", defaults.reclaimable),
        .services = count("services", defaults.services),
        .keys = count("keys", defaults.keys),
    });
    return 0;
}

/// Calls a function that storeCall put into the Lua registry together with its arguments. A Lua error is added to the failures.
void runStoredCall(lua_State *lua, int reference, int arguments)
{
    lua_rawgeti(lua, LUA_REGISTRYINDEX, reference);
    const int table = lua_gettop(lua);
    for (int item = 1; item <= arguments + 1; ++item) {
        lua_rawgeti(lua, table, item);
    }
    if (lua_pcall(lua, arguments, 0, 0) != LUA_OK) {
        scenarioOf(lua).result.failures.emplace_back(lua_tostring(lua, -1));
    }
    lua_settop(lua, table - 1);
}

// Stores the function at stack index 2 and its arguments in the Lua registry. Returns the registry reference.
int storeCall(lua_State *lua)
{
    luaL_checktype(lua, 2, LUA_TFUNCTION);
    const int count = lua_gettop(lua) - 1;
    lua_createtable(lua, count, 0);
    for (int item = 1; item <= count; ++item) {
        lua_pushvalue(lua, item + 1);
        lua_rawseti(lua, -2, item);
    }
    return luaL_ref(lua, LUA_REGISTRYINDEX);
}

// at(SECONDS, FUNCTION, ...) calls the function at that time, counted from the start of the scenario.
int at(lua_State *lua)
{
    auto &clock = cellOf(lua).world().clock;
    const int arguments = lua_gettop(lua) - 2;
    const duration delay = instant(std::chrono::hours(1)) + secondsAt(lua, 1) - clock.now();
    clock.after(delay, "script", [mainState = scenarioOf(lua).lua, reference = storeCall(lua), arguments] {
        runStoredCall(mainState, reference, arguments);
    });
    return 0;
}

void scheduleRepeatedCall(lua_State *mainState, duration interval, int reference, int arguments)
{
    scenarioOf(mainState).cell->world().clock.after(interval, "script", [mainState, interval, reference, arguments] {
        runStoredCall(mainState, reference, arguments);
        scheduleRepeatedCall(mainState, interval, reference, arguments);
    });
}

int every(lua_State *lua)
{
    cellOf(lua);
    const int arguments = lua_gettop(lua) - 2;
    scheduleRepeatedCall(scenarioOf(lua).lua, secondsAt(lua, 1), storeCall(lua), arguments);
    return 0;
}

int run(lua_State *lua)
{
    cellOf(lua).runFor(secondsAt(lua, 1));
    return 0;
}

int expect(lua_State *lua)
{
    if (lua_toboolean(lua, 1) == 0) {
        luaL_where(lua, 1);
        const std::string message = luaL_optstring(lua, 2, "expectation failed");
        scenarioOf(lua).result.failures.push_back(lua_tostring(lua, -1) + message);
    }
    return 0;
}

// send{...} sends a request and returns its name, which outcome and code take.
int send(lua_State *lua)
{
    luaL_checktype(lua, 1, LUA_TTABLE);
    auto &scenario = scenarioOf(lua);
    const std::string name = textField(lua, "name", ("call" + std::to_string(++scenario.callCount)).c_str());
    scenario.calls[name] = cellOf(lua).send({
        .daemon = textField(lua, "to", ""),
        .key = textField(lua, "key", "k1"),
        .booking = textField(lua, "booking", ""),
        .poison = textField(lua, "poison", ""),
        .tokens = static_cast<std::uint64_t>(numberField(lua, "tokens", 20)),
        .retries = static_cast<int>(numberField(lua, "retries", 0)),
        .retryAfter = std::chrono::duration_cast<duration>(std::chrono::duration<double>(numberField(lua, "retry_after", 1))),
    });
    return pushText(lua, name);
}

const virtual_call &callAt(lua_State *lua)
{
    const auto found = scenarioOf(lua).calls.find(textAt(lua, 1));
    if (found == scenarioOf(lua).calls.end()) {
        luaL_error(lua, "no such call");
    }
    return *found->second;
}

int outcome(lua_State *lua)
{
    return pushText(lua, callAt(lua).outcome);
}

int code(lua_State *lua)
{
    return pushText(lua, callAt(lua).code);
}

endpoint_role roleAt(lua_State *lua, int index)
{
    static const std::map<std::string, endpoint_role> roles
        = {{"mixed", endpoint_role::Mixed}, {"prefill", endpoint_role::Prefill}, {"decode", endpoint_role::Decode}};
    const auto found = roles.find(textAt(lua, index));
    if (found == roles.end()) {
        luaL_error(lua, "unknown role: expected mixed, prefill or decode");
    }
    return found->second;
}

nlohmann::json weightChange(lua_State *lua, int index)
{
    return {{"organisations", {{"orgk1", {{"weight", luaL_checkinteger(lua, index)}}}}}};
}

const std::vector<luaL_Reg> &functions()
{
    static const std::vector<luaL_Reg> list = {
        {"cell", createCell},
        {"at", at},
        {"every", every},
        {"run", run},
        {"expect", expect},
        {"send", send},
        {"outcome", outcome},
        {"code", code},
        {"kill",
         [](lua_State *lua) {
             cellOf(lua).daemon(textAt(lua, 1)).kill();
             return 0;
         }},
        {"start",
         [](lua_State *lua) {
             cellOf(lua).daemon(textAt(lua, 1)).start();
             return 0;
         }},
        {"shut_down",
         [](lua_State *lua) {
             cellOf(lua).daemon(textAt(lua, 1)).shutDown();
             return 0;
         }},
        {"pause",
         [](lua_State *lua) {
             cellOf(lua).daemon(textAt(lua, 1)).pause(secondsAt(lua, 2));
             return 0;
         }},
        {"stall_orders",
         [](lua_State *lua) {
             cellOf(lua).daemon(textAt(lua, 1)).stallOrders(secondsAt(lua, 2));
             return 0;
         }},
        {"partition",
         [](lua_State *lua) {
             cellOf(lua).partition(namesAt(lua, 1), namesAt(lua, 2));
             return 0;
         }},
        {"heal",
         [](lua_State *lua) {
             cellOf(lua).heal();
             return 0;
         }},
        {"store_down",
         [](lua_State *lua) {
             cellOf(lua).platform().setDown(lua_toboolean(lua, 1) != 0);
             return 0;
         }},
        {"store_slow",
         [](lua_State *lua) {
             cellOf(lua).platform().setSlow(secondsAt(lua, 1));
             return 0;
         }},
        {"lose_answers",
         [](lua_State *lua) {
             cellOf(lua).platform().loseAnswers(static_cast<int>(luaL_checkinteger(lua, 1)),
                                                textAt(lua, 2) == "after" ? answer_loss::AfterEffect : answer_loss::BeforeEffect);
             return 0;
         }},
        {"stale_instances",
         [](lua_State *lua) {
             cellOf(lua).platform().freezeInstances(lua_toboolean(lua, 1) != 0);
             return 0;
         }},
        {"crash",
         [](lua_State *lua) {
             cellOf(lua).endpoint(textAt(lua, 1)).crash();
             return 0;
         }},
        {"hang",
         [](lua_State *lua) {
             cellOf(lua).endpoint(textAt(lua, 1)).hang(secondsAt(lua, 2));
             return 0;
         }},
        {"stray_answers",
         [](lua_State *lua) {
             cellOf(lua).endpoint(textAt(lua, 1)).sendStrayAnswers(static_cast<int>(luaL_checkinteger(lua, 2)));
             return 0;
         }},
        {"reclaim",
         [](lua_State *lua) {
             cellOf(lua).reclaim(textAt(lua, 1), secondsAt(lua, 2));
             return 0;
         }},
        {"order_role",
         [](lua_State *lua) {
             cellOf(lua).orderRole(textAt(lua, 1), roleAt(lua, 2));
             return 0;
         }},
        {"provision",
         [](lua_State *lua) {
             cellOf(lua).provision(textAt(lua, 1), static_cast<int>(luaL_checkinteger(lua, 2)));
             return 0;
         }},
        {"withdraw_key",
         [](lua_State *lua) {
             return pushText(lua, cellOf(lua).withdrawKey(textAt(lua, 1), textAt(lua, 2)));
         }},
        {"grant_key",
         [](lua_State *lua) {
             return pushText(lua, cellOf(lua).grantKey(textAt(lua, 1), textAt(lua, 2)));
         }},
        {"patch_weight",
         [](lua_State *lua) {
             return pushText(lua, cellOf(lua).patch(textAt(lua, 1), weightChange(lua, 2)));
         }},
        {"race_weights",
         [](lua_State *lua) {
             return pushText(lua, cellOf(lua).patchRace(textAt(lua, 1), weightChange(lua, 2), textAt(lua, 3), weightChange(lua, 4)));
         }},
        {"holder",
         [](lua_State *lua) {
             return pushText(lua, cellOf(lua).holder(textAt(lua, 1)));
         }},
        {"alive",
         [](lua_State *lua) {
             lua_pushboolean(lua, cellOf(lua).daemon(textAt(lua, 1)).alive() ? 1 : 0);
             return 1;
         }},
        {"role",
         [](lua_State *lua) {
             static constexpr std::array<const char *, 3> names = {"mixed", "prefill", "decode"};
             return pushText(lua, names.at(static_cast<std::size_t>(cellOf(lua).endpoint(textAt(lua, 1)).role())));
         }},
        {"crashes",
         [](lua_State *lua) {
             int sum = 0;
             for (const auto &id : cellOf(lua).engineIds()) {
                 sum += cellOf(lua).endpoint(id).crashes();
             }
             lua_pushinteger(lua, sum);
             return 1;
         }},
        {"executions",
         [](lua_State *lua) {
             lua_pushinteger(lua, cellOf(lua).world().observer.executions(textAt(lua, 1)));
             return 1;
         }},
        {"windows_reported",
         [](lua_State *lua) {
             lua_pushinteger(lua, static_cast<lua_Integer>(cellOf(lua).world().observer.reports()));
             return 1;
         }},
        {"version",
         [](lua_State *lua) {
             const auto *incarnation = cellOf(lua).daemon(textAt(lua, 1)).incarnation();
             lua_pushinteger(lua, incarnation == nullptr ? 0 : static_cast<lua_Integer>(incarnation->config.current()->parsed.version));
             return 1;
         }},
        {"version_in_force",
         [](lua_State *lua) {
             lua_pushinteger(lua, static_cast<lua_Integer>(cellOf(lua).world().observer.highestMajorityVersion()));
             return 1;
         }},
        {"members",
         [](lua_State *lua) {
             const auto *incarnation = cellOf(lua).daemon(textAt(lua, 1)).incarnation();
             lua_pushinteger(lua, incarnation == nullptr ? 0 : static_cast<lua_Integer>(incarnation->roster.roster().members.size()));
             return 1;
         }},
        {"total",
         [](lua_State *lua) {
             const auto &outcomes = cellOf(lua).totals().outcomes;
             const auto found = outcomes.find(textAt(lua, 1));
             lua_pushinteger(lua, found == outcomes.end() ? 0 : found->second);
             return 1;
         }},
    };
    return list;
}

}

scenario_result runScenario(const std::filesystem::path &file)
{
    scenario current;
    const std::unique_ptr<lua_State, decltype(&lua_close)> lua(luaL_newstate(), lua_close);
    current.lua = lua.get();
    *static_cast<scenario **>(lua_getextraspace(lua.get())) = &current;
    luaL_requiref(lua.get(), LUA_GNAME, luaopen_base, 1);
    luaL_requiref(lua.get(), LUA_STRLIBNAME, luaopen_string, 1);
    luaL_requiref(lua.get(), LUA_TABLIBNAME, luaopen_table, 1);
    lua_settop(lua.get(), 0);
    for (const auto &function : functions()) {
        lua_register(lua.get(), function.name, function.func);
    }
    if (luaL_dofile(lua.get(), file.c_str()) != LUA_OK) {
        current.result.failures.emplace_back(lua_tostring(lua.get(), -1));
    }
    if (current.cell) {
        for (const auto &found : current.cell->violations()) {
            current.result.failures.push_back("invariant " + std::to_string(static_cast<int>(found.which)) + ": " + found.detail);
        }
        const auto &trace = current.cell->world().clock.trace();
        current.result.trace.assign(trace.begin(), trace.end());
    }
    return current.result;
}

}
