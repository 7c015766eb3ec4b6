// Fake node that replaces the decision logic in tests of the process. The payload of a submission selects the answer:
// "hold"   answered when the daemon begins to leave
// "never"  not answered
// "slow"   answered after the step has blocked for 300 ms
// "store"  answered with the status of a store operation
// other    answered at once with outcome Done
#include "core/node/node_func.h"

#include <map>
#include <thread>

namespace mimosapier
{

struct Node
{
    std::vector<CallId> heldCalls_;
    std::map<StoreOpId, CallId> storeOpCallers_;
    bool leaving_ = false;
};

template <>
void Destroy<Node>::operator()(Node *state) const
{
    delete state;
}

Handle<Node> makeNode(const NodeSettings &)
{
    return Handle<Node>(new Node);
}

void startNode(Node &, TimePoint, Actions &actions)
{
    actions.push(LogLine{LogLevel::Info, "[node] Fake node started."});
}

static void answer(CallId call, Outcome outcome, std::string detail, Actions &actions)
{
    CallerAnswer answer;
    answer.call_ = call;
    answer.outcome_ = outcome;
    answer.detail_ = std::move(detail);
    actions.push(std::move(answer));
}

static void submit(Node &node, CallId call, const SubmitRequest &request, Actions &actions)
{
    // A request that reached the front end first can still arrive after LeaveRequested, because they use different
    // rings.
    if (request.payload_ == "hold" && !node.leaving_) {
        node.heldCalls_.push_back(call);
    } else if (request.payload_ == "hold") {
        answer(call, Outcome::Done, "held", actions);
    } else if (request.payload_ == "store") {
        const StoreOpId id{actions.nextId()};
        node.storeOpCallers_[id] = call;
        actions.push(StoreRequest{id, StoreComponent::Home, {}, StoreGet{"key"}});
    } else if (request.payload_ != "never") {
        if (request.payload_ == "slow") {
            std::this_thread::sleep_for(Milliseconds(300));
        }
        answer(call, Outcome::Done, request.requestId_, actions);
    }
}

void step(Node &node, const Event &event, TimePoint, Actions &actions)
{
    if (const auto *request = std::get_if<CallerRequest>(&event)) {
        if (const auto *body = std::get_if<SubmitRequest>(&request->body_)) {
            submit(node, request->call_, *body, actions);
        } else {
            answer(request->call_, Outcome::Done, "", actions);
        }
    } else if (const auto *result = std::get_if<StoreResult>(&event)) {
        answer(node.storeOpCallers_[result->id_], Outcome::Done, std::to_string(static_cast<int>(result->status_)),
               actions);
    } else if (std::holds_alternative<LeaveRequested>(event)) {
        node.leaving_ = true;
        for (const CallId call : node.heldCalls_) {
            answer(call, Outcome::Done, "held", actions);
        }
        actions.push(LeaveFinished{});
    }
}

bool isReady(const Node &)
{
    return true;
}

} // namespace mimosapier
