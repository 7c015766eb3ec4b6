// Error category and look-ups in the table of error kinds.
#include "core/common/error_type.h"

#include "core/common/table/error_table.h"

#include <string>

namespace mimosapier
{

static consteval bool tableIsInOrder()
{
    for (std::size_t i = 0; i < ErrorTable.size(); ++i) {
        if (static_cast<std::size_t>(ErrorTable[i].kind_) != i) {
            return false;
        }
    }
    return true;
}

static_assert(tableIsInOrder(), "rows of ErrorTable follow the order of ErrorKind");

static const ErrorRow &row(ErrorKind kind)
{
    return ErrorTable.at(static_cast<std::size_t>(kind));
}

namespace
{

class Category final : public std::error_category
{
public:
    [[nodiscard]] const char *name() const noexcept override { return "mimosapier"; }
    [[nodiscard]] std::string message(int value) const override
    {
        return std::string(errorText(static_cast<ErrorKind>(value)));
    }
};

} // namespace

const std::error_category &mimosapierCategory()
{
    static const Category category;
    return category;
}

std::error_code make_error_code(ErrorKind kind)
{
    return {static_cast<int>(kind), mimosapierCategory()};
}

ErrorKind errorKind(const std::error_code &code)
{
    if (!code) {
        return ErrorKind::None;
    }
    if (code.category() != mimosapierCategory()) {
        return ErrorKind::Internal;
    }
    return static_cast<ErrorKind>(code.value());
}

std::string_view errorName(ErrorKind kind)
{
    return row(kind).name_;
}

ErrorKind errorFromName(std::string_view name)
{
    for (const auto &entry : ErrorTable) {
        if (entry.name_ == name) {
            return entry.kind_;
        }
    }
    return ErrorKind::Internal;
}

unsigned httpStatus(ErrorKind kind)
{
    return row(kind).httpStatus_;
}

std::string_view errorText(ErrorKind kind)
{
    return row(kind).text_;
}

} // namespace mimosapier
