// standin-load: load generator that simulates the callers of the scheduler.
#include "standin/load_service.h"

#include <memory>

using namespace mimosapier::standin;

int main(int argc, char **argv)
{
    return runProgram(argc, argv, "standin-load", [](auto &context, const auto &settings) -> std::shared_ptr<void> {
        auto service = std::make_shared<LoadService>(context, settings);
        return service->listen() ? service : nullptr;
    });
}
