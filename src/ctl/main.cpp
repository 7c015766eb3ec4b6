// Entry point of mimosapierctl, the command line for operators and callers.
#include "ctl/ctl_internal.h"

#include <iostream>
#include <random>

using namespace mimosapier;

static std::string randomHex()
{
    constexpr std::string_view Digits = "0123456789abcdef";
    constexpr std::size_t Length = 32;
    std::random_device device;
    std::string text;
    while (text.size() < Length) {
        text += Digits[device() % Digits.size()];
    }
    return text;
}

int main(int argc, char **argv)
{
    constexpr Milliseconds Timeout{75'000}; // longer than the longest wait_ms of a status request
    const CommandIo io{makeRequestSender(Timeout), std::cin, std::cout, std::cerr, randomHex};
    return static_cast<int>(runCtl(argc, argv, io));
}
