// standin-store: simulates the platform's key-value service, in memory.
#include "standin/store_service.h"

#include <memory>

using namespace mimosapier::standin;

int main(int argc, char **argv)
{
    return runProgram(argc, argv, "standin-store", [](auto &context, const auto &settings) -> std::shared_ptr<void> {
        auto service = std::make_shared<StoreService>(context, settings);
        return service->listen() ? service : nullptr;
    });
}
