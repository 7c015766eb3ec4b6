// standin-instances: simulates the platform's list of instances, which shows changes after a delay.
#include "standin/instances_service.h"

#include <memory>

using namespace mimosapier::standin;

int main(int argc, char **argv)
{
    return runProgram(argc, argv, "standin-instances",
                      [](auto &context, const auto &settings) -> std::shared_ptr<void> {
                          auto service = std::make_shared<InstanceService>(context, settings);
                          return service->listen() ? service : nullptr;
                      });
}
