// Runs the scenarios of the requirements, one file each under scenarios/.

#include "support/scenario_runner.h"

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>

TEST_CASE("every scenario file runs with the expected results")
{
    std::size_t n = 0;
    for (const auto &it : std::filesystem::directory_iterator(SCENARIO_FOLDER)) {
        if (it.path().extension() != ".scenario")
            continue;
        ++n;
        std::ifstream in(it.path());
        std::ostringstream text;
        text << in.rdbuf();
        fake::scenario_runner runner;
        INFO(it.path().filename().string());
        for (const auto &problem : runner.run(text.str()))
            FAIL_CHECK(problem);
    }
    CHECK(n > 0);
    std::cout << "scenarios: " << n << '\n';
}

TEST_CASE("a deviation from a scenario is reported with its line")
{
    fake::scenario_runner runner;
    const auto problems = runner.run("write crew k 1 via 1 expect not_run\nfly\n");
    REQUIRE(problems.size() == 2);
    CHECK(problems[0].find("line 1") == 0);
    CHECK(problems[1].find("line 2") == 0);
}
