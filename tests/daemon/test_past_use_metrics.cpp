// Tests of the metrics of past use.
#include "daemon/metrics_base.h"

#include <criterion/criterion.h>

using namespace mimosapier;

// Guards against accounts that stay in the metrics after the leader has stepped down.
Test(past_use_metrics, theAccountsAreReplaced)
{
    Metrics metrics;
    const std::vector<AccountUseSample> samples{{"a", 12.5, 0.25, Milliseconds(1'000)}};
    metrics.setPastUse(samples);
    const std::string text = metrics.render();
    cr_assert(text.find("mimosapier_past_use_core_seconds{account=\"a\"} 12.5") != std::string::npos, "%s",
              text.c_str());
    cr_assert(text.find("mimosapier_past_use_factor{account=\"a\"} 0.25") != std::string::npos);
    metrics.setPastUse({});
    cr_assert(metrics.render().find("past_use") == std::string::npos);
}
