// Counts requests and answers for the service-level report, and renders it as JSON.
#include "core/entry/report_base.h"

#include "core/common/json_func.h"

#include <algorithm>

namespace mimosapier
{

constexpr std::size_t MaxSeries = 4096; // further teams of a class are counted together as OtherTeams
constexpr std::string_view OtherTeams = "(other)";

// Clears the slots after the newest one up to `slot`, which becomes the newest.
template <std::size_t Slots>
static void slideTo(SlidingCount<Slots> &window, std::int64_t slot)
{
    const auto size = static_cast<std::int64_t>(Slots);
    for (std::int64_t next = std::max(window.newestSlot_ + 1, slot - size + 1); next <= slot; ++next) {
        window.slots_.at(static_cast<std::size_t>(next % size)) = {};
    }
    window.newestSlot_ = std::max(window.newestSlot_, slot);
}

static std::int64_t slotOf(TimePoint now, Milliseconds width)
{
    return now.time_since_epoch() / width;
}

template <std::size_t Slots>
static void count(SlidingCount<Slots> &window, std::int64_t slot, bool good)
{
    slideTo(window, slot);
    ObjectiveCounts &counts = window.slots_.at(static_cast<std::size_t>(slot % static_cast<std::int64_t>(Slots)));
    ++(good ? counts.good_ : counts.bad_);
}

template <std::size_t Slots>
static ObjectiveCounts sum(SlidingCount<Slots> window, std::int64_t slot)
{
    slideTo(window, slot);
    ObjectiveCounts total;
    for (const ObjectiveCounts &counts : window.slots_) {
        total.good_ += counts.good_;
        total.bad_ += counts.bad_;
    }
    return total;
}

static Series &seriesOf(Report &report, const ClassId &workClass, const TeamId &team)
{
    std::pair key(workClass, team);
    if (report.series_.size() >= MaxSeries && !report.series_.contains(key)) {
        key.second = TeamId(std::string(OtherTeams));
    }
    return report.series_[key];
}

void countAdmitted(Report &report, const WorkClass &workClass, const TeamId &team, TimePoint now)
{
    report.now_ = now;
    Series &series = seriesOf(report, workClass.id_, team);
    ++series.requests_;
    series.objective_ = workClass.objective_;
    series.objectiveRatio_ = workClass.objectiveRatio_;
}

void countAnswer(Report &report, const JobSpec &spec, Outcome outcome, ErrorKind error, Milliseconds time,
                 TimePoint now)
{
    report.now_ = now;
    Series &series = seriesOf(report, spec.class_, spec.team_);
    ++series.outcomes_.at(static_cast<std::size_t>(outcome));
    const auto *const bound = std::lower_bound(BucketBounds.begin(), BucketBounds.end(), time.count());
    ++series.buckets_.at(static_cast<std::size_t>(bound - BucketBounds.begin()));
    series.sumMs_ += static_cast<std::uint64_t>(std::max<std::int64_t>(time.count(), 0));
    // A task that failed by itself or was cancelled was served; a lost or refused one was not.
    const bool served = outcome == Outcome::Done || outcome == Outcome::Pending || outcome == Outcome::Cancelled
        || (outcome == Outcome::Failed && error == ErrorKind::TaskFailed);
    const bool good = served && time <= series.objective_;
    count(series.shortWindow_, slotOf(now, ShortSlotWidth), good);
    count(series.longWindow_, slotOf(now, LongSlotWidth), good);
}

static std::string windowJson(const ObjectiveCounts &counts)
{
    JsonObject object;
    object.number("good", counts.good_).number("bad", counts.bad_);
    if (counts.good_ + counts.bad_ > 0) {
        object.real("good_ratio", static_cast<double>(counts.good_) / (counts.good_ + counts.bad_));
    }
    return object.finish();
}

static std::string seriesJson(const ClassId &workClass, const TeamId &team, const Series &series, TimePoint now)
{
    JsonObject object;
    object.text("class", workClass.value_).text("team", team.value_);
    object.number("requests", static_cast<std::int64_t>(series.requests_));
    JsonObject outcomes;
    for (std::size_t i = 0; i < series.outcomes_.size(); ++i) {
        const auto outcome = static_cast<Outcome>(i);
        outcomes.number(outcome == Outcome::Pending ? "accepted" : outcomeName(outcome),
                        static_cast<std::int64_t>(series.outcomes_.at(i)));
    }
    object.raw("outcomes", outcomes.finish());
    JsonArray buckets;
    for (const std::uint64_t bucket : series.buckets_) {
        buckets.raw(std::to_string(bucket));
    }
    object.raw("answer_ms_buckets", buckets.finish());
    object.number("answer_ms_sum", static_cast<std::int64_t>(series.sumMs_));
    object.number("objective_ms", series.objective_.count()).real("objective_ratio", series.objectiveRatio_);
    object.raw("last_5_min", windowJson(sum(series.shortWindow_, slotOf(now, ShortSlotWidth))));
    object.raw("last_hour", windowJson(sum(series.longWindow_, slotOf(now, LongSlotWidth))));
    return object.finish();
}

std::string reportDocument(const Report &report, std::size_t open)
{
    JsonObject object;
    object.number("open", static_cast<std::int64_t>(open));
    object.number("retries", static_cast<std::int64_t>(report.retries_));
    object.number("retries_delayed", static_cast<std::int64_t>(report.retriesDelayed_));
    object.number("late_answers", static_cast<std::int64_t>(report.lateAnswers_));
    JsonObject refused;
    for (const auto &[error, number] : report.refused_) {
        refused.number(errorName(error), static_cast<std::int64_t>(number));
    }
    object.raw("refused", refused.finish());
    JsonArray bounds;
    for (const std::int64_t bound : BucketBounds) {
        bounds.raw(std::to_string(bound));
    }
    object.raw("bucket_bounds_ms", bounds.finish());
    JsonArray series;
    for (const auto &[key, value] : report.series_) {
        series.raw(seriesJson(key.first, key.second, value, report.now_));
    }
    return object.raw("series", series.finish()).finish();
}

} // namespace mimosapier
