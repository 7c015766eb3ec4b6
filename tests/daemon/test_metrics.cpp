// Tests of the metrics text.
#include "daemon/metrics_base.h"

#include <criterion/criterion.h>

using namespace mimosapier;

// Guards against an evacuation that no metric shows, or that the metric still shows after its end.
Test(metrics, evacuatedZonesAreShown)
{
    Metrics metrics;
    const auto shows = [&metrics](const std::string &line) {
        return metrics.render().find("\n" + line + "\n") != std::string::npos;
    };
    cr_assert(shows("mimosapier_evacuated_zones 0"), "%s", metrics.render().c_str());
    metrics.setEvacuatedZones(2);
    cr_assert(shows("mimosapier_evacuated_zones 2"));
    metrics.setEvacuatedZones(0);
    cr_assert(shows("mimosapier_evacuated_zones 0"));
}
