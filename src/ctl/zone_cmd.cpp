// The commands `zone ...`: evacuate and restore an availability zone by the operator's keys in the store of a cell.
#include "ctl/ctl_internal.h"

#include "platform/platform_codec_func.h"

#include <algorithm>
#include <ostream>

namespace mimosapier
{

static constexpr std::string_view EvacuationPrefix = "evacuate/"; // in KvSpace::Operator

static std::string keyOf(const std::string &zone)
{
    return std::string(EvacuationPrefix) + zone;
}

// Makes a call of the store. Result: Done when the store has answered it, also with NotFound. Prints why it failed.
static ExitCode callStore(const Options &options, const CommandIo &io, KvCall call, KvReply &reply)
{
    constexpr unsigned FirstError = 300;
    constexpr unsigned FirstServerError = 500;
    call.space_ = KvSpace::Operator;
    const HttpResult result = io.send_(options.zone_.store_, encodeKvCall(call));
    if (result.delivery_ == HttpDelivery::NotSent) {
        io.err_ << "The store could not be reached.\n";
        return ExitCode::Unreachable;
    }
    if (result.delivery_ == HttpDelivery::MaybeSent) {
        io.err_ << "The connection failed; the request may have taken effect.\n";
        return ExitCode::Unknown;
    }
    decodeKvReply(call, result.status_, result.body_, reply);
    if (reply.status_ == KvStatus::Ok || reply.status_ == KvStatus::NotFound) {
        return ExitCode::Done;
    }
    const bool isRefused = reply.status_ != KvStatus::Unknown || result.status_ < FirstServerError;
    const bool isUnreadable = result.status_ < FirstError;
    io.err_ << "The store answered with status " << result.status_
            << (isUnreadable ? " and a body that cannot be read.\n" : ".\n");
    return isRefused && !isUnreadable ? ExitCode::Refused : ExitCode::Unknown;
}

// Prints the result of a change that the store has acknowledged.
static ExitCode printChange(const Options &options, const CommandIo &io, std::string_view state, const KvReply &reply)
{
    if (options.printsJson_) {
        io.out_ << dumpJson({{"zone", options.zone_.name_}, {"state", state}, {"revision", reply.revision_}}) << '\n';
    } else {
        io.out_ << options.zone_.name_ << ' ' << state << ", revision " << reply.revision_ << '\n';
    }
    return ExitCode::Done;
}

// Makes a transaction or a read of several keys, which a store never answers with NotFound: another program does.
static ExitCode callStoreOnly(const Options &options, const CommandIo &io, const KvCall &call, KvReply &reply)
{
    const ExitCode code = callStore(options, io, call, reply);
    if (code == ExitCode::Done && reply.status_ != KvStatus::Ok) {
        io.err_ << "The address " << options.zone_.store_ << " is not that of a store.\n";
        return ExitCode::Refused;
    }
    return code;
}

ExitCode evacuateZoneCmd(const Options &options, const CommandIo &io)
{
    KvCall call;
    call.op_ = KvOp::Commit;
    call.writes_ = {{keyOf(options.zone_.name_), "{}", 0}};
    KvReply reply;
    const ExitCode code = callStoreOnly(options, io, call, reply);
    return code == ExitCode::Done ? printChange(options, io, "evacuated", reply) : code;
}

ExitCode restoreZoneCmd(const Options &options, const CommandIo &io)
{
    KvCall read;
    read.op_ = KvOp::Get;
    read.key_ = keyOf(options.zone_.name_);
    KvReply reply;
    if (const ExitCode code = callStore(options, io, read, reply); code != ExitCode::Done) {
        return code;
    }
    if (reply.status_ == KvStatus::NotFound) { // perhaps another zone was meant
        io.err_ << "The zone " << options.zone_.name_ << " is not evacuated.\n";
        return ExitCode::Refused;
    }
    KvCall call;
    call.op_ = KvOp::Commit;
    call.removes_ = {keyOf(options.zone_.name_)};
    reply = {};
    const ExitCode code = callStoreOnly(options, io, call, reply);
    return code == ExitCode::Done ? printChange(options, io, "restored", reply) : code;
}

ExitCode listZonesCmd(const Options &options, const CommandIo &io)
{
    KvCall call;
    call.op_ = KvOp::Range;
    call.key_ = std::string(EvacuationPrefix);
    Json zones = Json::array();
    KvReply page;
    do {
        page = {};
        if (const ExitCode code = callStoreOnly(options, io, call, page); code != ExitCode::Done) {
            return code;
        }
        for (const KvItem &item : page.items_) {
            zones.push_back(item.key_.substr(std::min(EvacuationPrefix.size(), item.key_.size())));
            call.after_ = item.key_;
        }
    } while (page.more_ && !page.items_.empty());
    if (options.printsJson_) {
        io.out_ << dumpJson({{"zones", zones}, {"revision", page.revision_}}) << '\n';
        return ExitCode::Done;
    }
    for (const Json &zone : zones) {
        io.out_ << zone.get<std::string>() << '\n';
    }
    return ExitCode::Done;
}

} // namespace mimosapier
