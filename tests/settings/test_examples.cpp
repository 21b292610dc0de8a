// The example settings, documents and workloads are valid.

#include "document/document_reader.h"
#include "load/workload_plan.h"
#include "settings/settings_reader.h"

#include <catch2/catch.hpp>
#include <filesystem>

using namespace baobabport;

TEST_CASE("every example is read without an error")
{
    const std::string folder = EXAMPLES_FOLDER;
    for (const std::string team : {"/lakeshore", "/terazi"}) {
        INFO(team);
        settings::settings_reader entry(settings::program_kind::entry);
        CHECK(entry.read_file(folder + team + "/entry.json"));
        CHECK(entry.last_reason().empty());
        settings::settings_reader pooler(settings::program_kind::pooler);
        CHECK(pooler.read_file(folder + team + "/pooler.json"));
        CHECK(pooler.last_reason().empty());
        document::document_reader reader;
        CHECK(reader.read(*settings::read_text_file(folder + team + "/document.json")));
        CHECK(reader.last_reason().empty());
    }
    for (const auto &it : std::filesystem::directory_iterator(folder + "/workloads")) {
        load::workload_reader reader;
        INFO(it.path().filename().string());
        CHECK(reader.read(*settings::read_text_file(it.path().string())));
        CHECK(reader.last_reason().empty());
    }
}
