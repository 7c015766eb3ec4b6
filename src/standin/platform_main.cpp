// standin-platform: simulates the users' platform: its store, runners and policy service.
#include "standin/platform_service.h"

#include <memory>

using namespace mimosapier::standin;

int main(int argc, char **argv)
{
    return runProgram(argc, argv, "standin-platform", [](auto &context, const auto &settings) -> std::shared_ptr<void> {
        auto service = std::make_shared<PlatformService>(context, settings);
        return service->listen() ? service : nullptr;
    });
}
