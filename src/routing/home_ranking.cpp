#include "routing/home_ranking.h"

#include <algorithm>
#include <numeric>
#include <xxhash.h>

namespace baobabport::routing {

namespace {

std::uint64_t score(const std::string &database, const std::string &pooler)
{
    const auto text = database + '\n' + pooler;
    return XXH3_64bits(text.data(), text.size());
}

} // namespace

std::vector<std::size_t> rank_homes(const ranked_database &database, const std::vector<candidate> &candidates)
{
    struct scored
    {
        bool near = false;
        std::uint64_t score = 0;
    };
    std::vector<scored> scores;
    for (const auto &it : candidates) {
        const bool near = std::find(database.data_centres.begin(), database.data_centres.end(),
                                    it.data_centre) != database.data_centres.end();
        scores.push_back({near, score(database.name, it.name)});
    }
    std::vector<std::size_t> out(candidates.size());
    std::iota(out.begin(), out.end(), 0);
    std::sort(out.begin(), out.end(), [&](std::size_t a, std::size_t b) {
        if (scores[a].near != scores[b].near)
            return scores[a].near;
        if (scores[a].score != scores[b].score)
            return scores[a].score > scores[b].score;
        return candidates[a].name < candidates[b].name;
    });
    return out;
}

} // namespace baobabport::routing
