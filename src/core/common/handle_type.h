// Owning pointer to a state struct whose definition stays private to its folder.
#pragma once

#include <memory>

namespace mimosapier
{

// Each part specialises operator() next to the struct's definition and declares the specialisation in its *_func.h.
template <typename T>
struct Destroy
{
    void operator()(T *state) const;
};

template <typename T>
using Handle = std::unique_ptr<T, Destroy<T>>;

} // namespace mimosapier
