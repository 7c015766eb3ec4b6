// standin-link: simulates network links between processes, with delay and faults.
#include "standin/link_service.h"

#include <memory>

using namespace mimosapier::standin;

int main(int argc, char **argv)
{
    return runProgram(argc, argv, "standin-link", [](auto &context, const auto &settings) -> std::shared_ptr<void> {
        auto service = std::make_shared<LinkService>(context, settings);
        return service->listen() ? service : nullptr;
    });
}
