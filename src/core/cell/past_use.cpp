// Past use of processor and memory by account, and how far it shifts the account's waiting steps in the order of work.
//
// Designed for accounts that stay within their share in each second and still use far more than others over hours. The
// use decays with the half-life of the operator's setting. An account that has more of it than its part of the weights
// is ordered by the fair-share factor 2^(-U/S) of batch schedulers, see docs/design/past-use.md. Off by default.
#include "core/cell/cell_internal.h"
#include "core/message/fields.h"

#include <algorithm>
#include <cmath>
#include <numbers>
#include <tuple>

namespace mimosapier
{

struct AccountUseDocument
{
    std::string account_;
    double coreSeconds_ = 0;
};

// Record of the past use in the store: a msgpack array. A new field is appended; decoders accept longer arrays.
struct PastUseDocument
{
    std::int64_t unixMs_ = 0; // time of the figures
    std::vector<AccountUseDocument> accounts_;
};

MIMOSAPIER_FIELDS(AccountUseDocument, s.account_, s.coreSeconds_)
MIMOSAPIER_FIELDS(PastUseDocument, s.unixMs_, s.accounts_)

} // namespace mimosapier

#include "core/message/pack_func.h"

namespace mimosapier::detail
{

static constexpr Milliseconds RefreshInterval{500}; // of the shifts; short against the shortest half-life, 60 s
// Of the shifts while accounts without use begin to wait; a refresh examines all waiting steps.
static constexpr Milliseconds MinRefreshInterval{50};
// An account without runs and with less use than this counts as one that never had any.
static constexpr double MinCoreSeconds = 1;
// A total use below this part of what the whole fleet would have used counts as this part: after a quiet time, the
// little use that is left decides nothing.
static constexpr double MinUseOfFleet = 0.01;
static constexpr double NoShiftFactor = 0.5; // of an account that has used exactly its share
static constexpr double MilliCpusPerCore = 1'000;
static constexpr double MillisPerSecond = 1'000;

static constexpr Milliseconds StoreInterval{10'000}; // of the record; a new leader lacks the use of at most this time
static constexpr Milliseconds ReportInterval{10'000}; // of the log line and the metrics
static constexpr std::size_t MaxLoggedAccounts = 8; // in a log line: those with the largest shifts, then the most use
static constexpr std::size_t MaxReportedAccounts = 100; // in the metrics, as a time series each
static constexpr std::size_t MaxStoredAccounts = 1'000; // those with the most use; about 30 KB
static constexpr double MaxCoreSeconds = 1e12; // of a stored figure; a million processors for eleven days
// A record counts as at most this old, in half-lives: the time of day of this daemon or the last leader may be wrong.
static constexpr std::int64_t MaxRecordAge = 4;

static double halfLifeSeconds(const Cell &cell)
{
    return std::chrono::duration<double>(cell.settings_.pastUseHalfLife_).count();
}

bool isPastUseCounted(const Cell &cell)
{
    return cell.settings_.pastUseHalfLife_ > Duration::zero();
}

// Resources as processors of the fleet: the dominant share of the fleet's capacity, times the fleet's processors.
static double equivalentCores(const PastUseOrder &order, const Resources &used)
{
    const double cores = static_cast<double>(used.milliCpus_) / MilliCpusPerCore;
    return std::max({0.0, cores, static_cast<double>(used.memoryMb_) * order.coresPerMb_});
}

// Counts the use until `now`.
static void settle(const Cell &cell, PastUse &use, TimePoint now)
{
    if (now > use.countedAt_ && use.countedAt_ != TimePoint{}) {
        const double decayTime = halfLifeSeconds(cell) / std::numbers::ln2;
        const double decayed = -std::expm1(-std::chrono::duration<double>(now - use.countedAt_).count() / decayTime);
        use.coreSeconds_ += decayed * (use.cores_ * decayTime - use.coreSeconds_);
    }
    use.countedAt_ = now;
}

void notePlacedUse(Cell &cell, Account &account)
{
    if (isPastUseCounted(cell) && !account.pastUse_.changed_) {
        account.pastUse_.changed_ = true;
        cell.pastUse_.changedAccounts_.push_back(&account);
    }
}

void countPastUse(Cell &cell, TimePoint now)
{
    for (Account *account : cell.pastUse_.changedAccounts_) {
        settle(cell, account->pastUse_, now);
        account->pastUse_.cores_ = equivalentCores(cell.pastUse_, account->used_);
        account->pastUse_.changed_ = false;
        cell.pastUse_.unstored_ = true;
    }
    cell.pastUse_.changedAccounts_.clear();
}

static void updateFleet(Cell &cell)
{
    Resources fleet;
    for (const auto &[id, runner] : cell.runners_) {
        if (runner->inDiscovery_) {
            fleet += runner->record_.capacity_;
        }
    }
    PastUseOrder &order = cell.pastUse_;
    if (fleet.milliCpus_ > 0) { // otherwise the last known fleet counts
        order.fleetCores_ = static_cast<double>(fleet.milliCpus_) / MilliCpusPerCore;
        order.coresPerMb_ = fleet.memoryMb_ > 0 ? order.fleetCores_ / static_cast<double>(fleet.memoryMb_) : 0;
    }
}

static void markWaitingAccounts(Cell &cell)
{
    for (const StepRef &ref : cell.readySteps_) {
        const Job *job = findJob(cell, ref.job_);
        const auto account
            = job != nullptr && !isFinal(*job) ? cell.accounts_.find(job->account_) : cell.accounts_.end();
        if (account != cell.accounts_.end()) {
            account->second.pastUse_.waits_ = true;
        }
    }
    cell.stepsExamined_ += cell.readySteps_.size();
}

// The shift of an account with this fair-share factor: none up to its share, then rising to the setting.
static Milliseconds shiftOf(const Cell &cell, double factor)
{
    const double part = std::max(0.0, 1 - factor / NoShiftFactor);
    return Milliseconds(std::llround(part * static_cast<double>(cell.settings_.pastUseShift_.count())));
}

static bool takesPart(const PastUse &use)
{
    return use.weight_ > 0 && (use.coreSeconds_ > 0 || use.cores_ > 0 || use.waits_);
}

static void updateFactors(Cell &cell)
{
    const double decayTime = halfLifeSeconds(cell) / std::numbers::ln2;
    double total = 0;
    double weights = 0;
    for (const auto &[name, account] : cell.accounts_) {
        if (takesPart(account.pastUse_)) {
            total += account.pastUse_.coreSeconds_;
            weights += account.pastUse_.weight_;
        }
    }
    total = std::max(total, MinUseOfFleet * cell.pastUse_.fleetCores_ * decayTime);
    cell.pastUse_.shifts_.clear();
    for (auto &[name, account] : cell.accounts_) {
        PastUse &use = account.pastUse_;
        use.factor_ = 1;
        if (takesPart(use) && total > 0) {
            use.factor_ = std::exp2(-(use.coreSeconds_ / total) / (use.weight_ / weights));
        }
        use.shift_ = shiftOf(cell, use.factor_);
        if (use.shift_ > Milliseconds(0)) {
            cell.pastUse_.shifts_.emplace(name, use.shift_);
        }
    }
}

// Passes the accounts with use to the metrics and the log, so that an operator sees whom the order puts back.
static void reportPastUse(Cell &cell, TimePoint now, CellActions &actions)
{
    if (now < cell.pastUse_.nextReportAt_) {
        return;
    }
    cell.pastUse_.nextReportAt_ = now + ReportInterval;
    std::vector<AccountUseSample> samples;
    double total = 0;
    for (const auto &[name, account] : cell.accounts_) {
        const PastUse &use = account.pastUse_;
        if (use.coreSeconds_ > 0) {
            samples.push_back({name, use.coreSeconds_, use.factor_, use.shift_});
            total += use.coreSeconds_;
        }
    }
    std::stable_sort(samples.begin(), samples.end(), [](const auto &a, const auto &b) {
        return std::tie(a.shift_, a.coreSeconds_) > std::tie(b.shift_, b.coreSeconds_);
    });
    if (!samples.empty()) {
        JsonArray top;
        for (std::size_t i = 0; i < std::min(samples.size(), MaxLoggedAccounts); ++i) {
            JsonObject entry;
            entry.text("account", samples[i].account_).real("core_s", samples[i].coreSeconds_);
            entry.real("factor", samples[i].factor_).number("shift_ms", samples[i].shift_.count());
            top.raw(entry.finish());
        }
        JsonObject line = logEvent("past-use");
        line.number("accounts", static_cast<std::int64_t>(samples.size())).real("core_s", total);
        line.number("shifted", static_cast<std::int64_t>(cell.pastUse_.shifts_.size())).raw("top", top.finish());
        addLogLine(actions, line);
    }
    samples.resize(std::min(samples.size(), MaxReportedAccounts));
    actions.pastUse_ = std::move(samples);
}

void noteWaitingAccount(Cell &cell, const std::string &name)
{
    const auto found = isPastUseCounted(cell) ? cell.accounts_.find(name) : cell.accounts_.end();
    if (found == cell.accounts_.end() || found->second.config_.weight_ <= 0) {
        return;
    }
    PastUse &use = found->second.pastUse_;
    if (use.coreSeconds_ <= 0 && use.cores_ <= 0 && !use.waits_) {
        use.waits_ = true;
        cell.pastUse_.hasNewAccount_ = true;
    }
}

void refreshPastUse(Cell &cell, TimePoint now, CellActions &actions)
{
    const Milliseconds interval = cell.pastUse_.hasNewAccount_ ? MinRefreshInterval : RefreshInterval;
    if (!isPastUseCounted(cell) || now < cell.pastUse_.refreshedAt_ + interval) {
        return;
    }
    cell.pastUse_.refreshedAt_ = now;
    cell.pastUse_.hasNewAccount_ = false;
    if (cell.pastUse_.nextStoreAt_ == TimePoint{}) {
        cell.pastUse_.nextStoreAt_ = now + StoreInterval;
    }
    updateFleet(cell);
    for (auto &[name, account] : cell.accounts_) {
        PastUse &use = account.pastUse_;
        settle(cell, use, now);
        use.cores_ = equivalentCores(cell.pastUse_, account.used_);
        use.coreSeconds_ = use.cores_ <= 0 && use.coreSeconds_ < MinCoreSeconds ? 0 : use.coreSeconds_;
        cell.pastUse_.unstored_ = cell.pastUse_.unstored_ || use.cores_ > 0;
        use.waits_ = false;
        use.weight_ = 0;
    }
    for (const AccountConfig &config : cell.config_.accounts_) {
        cell.accounts_[config.name_].pastUse_.weight_ = config.weight_;
    }
    markWaitingAccounts(cell);
    updateFactors(cell);
    reportPastUse(cell, now, actions);
}

static std::string encodePastUse(Cell &cell, CellTime now)
{
    PastUseDocument document;
    document.unixMs_ = now.unixMs_;
    for (auto &[name, account] : cell.accounts_) {
        settle(cell, account.pastUse_, now.steady_);
        if (account.pastUse_.coreSeconds_ > 0) {
            document.accounts_.push_back({name, account.pastUse_.coreSeconds_});
        }
    }
    std::stable_sort(document.accounts_.begin(), document.accounts_.end(),
                     [](const auto &a, const auto &b) { return a.coreSeconds_ > b.coreSeconds_; });
    document.accounts_.resize(std::min(document.accounts_.size(), MaxStoredAccounts));
    return packToString(document);
}

void collectPastUse(Cell &cell, CellTime now, LaneTransaction &transaction)
{
    PastUseOrder &order = cell.pastUse_;
    if (!isPastUseCounted(cell) || !order.unstored_ || now.steady_ < order.nextStoreAt_) {
        return;
    }
    transaction.call_.writes_.push_back({std::string(PastUseKey), encodePastUse(cell, now), 0});
    order.unstored_ = false;
    order.nextStoreAt_ = now.steady_ + StoreInterval;
}

bool restorePastUse(Cell &cell, std::string_view bytes, CellTime now)
{
    PastUseDocument document;
    if (!unpackFromString(bytes, document)) {
        return false;
    }
    const std::int64_t maxAge = MaxRecordAge * cell.settings_.pastUseHalfLife_.count();
    // A record from the future is one of a clock that was ahead: nothing of it has decayed as far as is known. The
    // comparison is made without a difference that could overflow.
    const std::int64_t since = std::clamp(document.unixMs_, now.unixMs_ - maxAge, now.unixMs_);
    const double halfLives = static_cast<double>(now.unixMs_ - since) / (halfLifeSeconds(cell) * MillisPerSecond);
    for (const AccountUseDocument &stored : document.accounts_) {
        const auto found = cell.accounts_.find(stored.account_); // others are not configured and take no part
        if (found != cell.accounts_.end() && stored.coreSeconds_ > 0 && stored.coreSeconds_ <= MaxCoreSeconds) {
            found->second.pastUse_.coreSeconds_ = stored.coreSeconds_ * std::exp2(-halfLives);
            found->second.pastUse_.countedAt_ = now.steady_;
        }
    }
    return true;
}

Milliseconds largestPastUseShift(const Cell &cell, const std::string &account)
{
    const auto found = cell.pastUse_.shifts_.find(account);
    return found == cell.pastUse_.shifts_.end() ? Milliseconds(0) : found->second;
}

} // namespace mimosapier::detail
