// standin-worker: simulates backend servers; their tasks only take time.
#include "standin/worker_service.h"

#include <memory>

using namespace mimosapier::standin;

int main(int argc, char **argv)
{
    return runProgram(argc, argv, "standin-worker", [](auto &context, const auto &settings) -> std::shared_ptr<void> {
        auto service = std::make_shared<WorkerService>(context, settings);
        return service->listen() ? service : nullptr;
    });
}
