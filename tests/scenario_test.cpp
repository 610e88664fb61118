#include "standin/scenario_script.h"

#include <algorithm>
#include <filesystem>
#include <glog/logging.h>
#include <gtest/gtest.h>
#include <vector>

namespace lacewinglock
{

namespace
{

std::vector<std::filesystem::path> scenarioFiles()
{
    std::vector<std::filesystem::path> files;
    for (const auto &entry : std::filesystem::directory_iterator(SOURCE_DIR "/scenarios")) {
        if (entry.path().extension() == ".lua") {
            files.push_back(entry.path());
        }
    }
    std::ranges::sort(files);
    return files;
}

struct scenario_files : testing::TestWithParam<std::filesystem::path>
{
};

// Guards against the failure that the comment at the head of each script describes.
TEST_P(scenario_files, holds)
{
    const auto result = runScenario(GetParam());
    for (const auto &failure : result.failures) {
        ADD_FAILURE() << failure;
    }
    if (!result.failures.empty()) {
        for (const auto &line : result.trace) {
            std::cout << line << "\n";
        }
    }
}

INSTANTIATE_TEST_SUITE_P(lua, scenario_files, testing::ValuesIn(scenarioFiles()), [](const auto &info) {
    return info.param.stem().string();
});

}

}
