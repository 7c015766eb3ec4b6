// Owning pointer to the state struct of a part. The struct's definition stays private to the part's folder, so that
// others can use the state only through its functions.
#pragma once

#include <memory>

namespace mimosapier
{

// Deleter. Each part declares the specialisation of operator() in its *_func.h and defines it where the struct is
// complete.
template <typename T>
struct Destroy
{
    void operator()(T *state) const;
};

template <typename T>
using Handle = std::unique_ptr<T, Destroy<T>>;

} // namespace mimosapier
