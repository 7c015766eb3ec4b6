// Counters and histograms by class and team for the service-level report. Written by core/entry.
#pragma once

#include "core/common/id_type.h"
#include "core/common/time_type.h"
#include "core/common/work_type.h"
#include "core/config/bundle_base.h"

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace mimosapier
{

// Inclusive upper bounds of the histogram in milliseconds; one more bucket counts longer times.
inline constexpr std::array<std::int64_t, 15> BucketBounds{1,   2,    5,    10,   20,    50,    100,  200,
                                                           500, 1000, 2000, 5000, 10000, 30000, 60000};

// Answers that met the objective of their class, and others.
struct ObjectiveCounts
{
    std::uint32_t good_ = 0;
    std::uint32_t bad_ = 0;
};

// Counts over a sliding window, as a ring of `Slots` intervals of equal width.
template <std::size_t Slots>
struct SlidingCount
{
    std::array<ObjectiveCounts, Slots> slots_{};
    std::int64_t newestSlot_ = 0; // number of the newest interval counted; its index is the number modulo Slots
};

constexpr Milliseconds ShortSlotWidth{10'000};
constexpr Milliseconds LongSlotWidth{60'000};

// Figures of one class and team.
struct Series
{
    std::uint64_t requests_ = 0; // admitted
    std::array<std::uint64_t, 7> outcomes_{}; // answers by Outcome; Pending counts accepted jobs
    std::array<std::uint64_t, BucketBounds.size() + 1> buckets_{}; // answers by time from receipt to answer
    std::uint64_t sumMs_ = 0; // of these times
    SlidingCount<30> shortWindow_; // 5 min
    SlidingCount<60> longWindow_; // 1 h
    Milliseconds objective_{0}; // of the class, from the newest admitted submit
    double objectiveRatio_ = 0;
};

struct Report
{
    std::map<std::pair<ClassId, TeamId>, Series> series_;
    std::map<ErrorKind, std::uint64_t> refused_; // submits refused at admission, by error
    std::uint64_t retries_ = 0;
    std::uint64_t retriesDelayed_ = 0; // because the retry budget was used up
    std::uint64_t lateAnswers_ = 0; // answers that no request waited for
    TimePoint now_; // time of the newest event; positions the windows
};

// Counts an admitted submit.
void countAdmitted(Report &report, const WorkClass &workClass, const TeamId &team, TimePoint now);
// Counts the answer to an admitted submit. `time` is from receipt to answer.
void countAnswer(Report &report, const JobSpec &spec, Outcome outcome, ErrorKind error, Milliseconds time,
                 TimePoint now);
// JSON object of the report; `open` is the number of open requests.
std::string reportDocument(const Report &report, std::size_t open);

} // namespace mimosapier
