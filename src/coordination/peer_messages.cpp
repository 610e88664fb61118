#include "coordination/peer_messages.h"

#include <algorithm>

namespace lacewinglock
{

namespace
{

std::string toString(capnp::Text::Reader source)
{
    return {source.cStr(), source.size()};
}

void writeReport(rpc::EndpointReport::Builder target, const endpoint_report &report)
{
    target.setEndpoint(report.endpoint);
    target.setReachable(report.reachable);
    target.setLeaving(report.leaving);
    target.setRole(static_cast<std::uint8_t>(report.role));
    target.setChangingRole(report.changingRole);
    target.setOrderRevision(report.orderRevision);
    target.setOrderEpoch(report.orderEpoch);
    target.setQueuedPromptTokens(static_cast<float>(report.queuedPromptTokens));
    target.setRunningStreams(static_cast<std::uint32_t>(std::max(0, report.runningStreams)));
    target.setFreeKvTokens(static_cast<float>(report.freeKvTokens));
    target.setPrefillTokensPerSecond(static_cast<float>(report.prefillTokensPerSecond));
    target.setAgeMs(static_cast<float>(report.ageMs));
}

endpoint_report readReport(rpc::EndpointReport::Reader source)
{
    const bool knownRole = source.getRole() <= static_cast<std::uint8_t>(endpoint_role::Decode);
    return {
        .endpoint = toString(source.getEndpoint()),
        .reachable = source.getReachable(),
        .leaving = source.getLeaving(),
        .role = knownRole ? static_cast<endpoint_role>(source.getRole()) : endpoint_role::Mixed,
        .changingRole = source.getChangingRole(),
        .orderRevision = source.getOrderRevision(),
        .orderEpoch = source.getOrderEpoch(),
        .queuedPromptTokens = source.getQueuedPromptTokens(),
        .runningStreams = static_cast<int>(source.getRunningStreams()),
        .freeKvTokens = source.getFreeKvTokens(),
        .prefillTokensPerSecond = source.getPrefillTokensPerSecond(),
        .ageMs = source.getAgeMs(),
    };
}

}

namespace
{

void writeDemand(rpc::GroupDemand::Builder target, const group_demand &demand)
{
    target.setGroup(demand.group);
    target.setWeightedTokens(static_cast<float>(demand.weightedTokens));
    target.setShortPrompt(static_cast<float>(demand.rates.shortTerm.promptTokensPerSecond));
    target.setShortOutput(static_cast<float>(demand.rates.shortTerm.outputTokensPerSecond));
    target.setLongPrompt(static_cast<float>(demand.rates.longTerm.promptTokensPerSecond));
    target.setLongOutput(static_cast<float>(demand.rates.longTerm.outputTokensPerSecond));
}

group_demand readDemand(rpc::GroupDemand::Reader source)
{
    return {
        .group = toString(source.getGroup()),
        .weightedTokens = source.getWeightedTokens(),
        .rates = {.shortTerm = {source.getShortPrompt(), source.getShortOutput()}, .longTerm = {source.getLongPrompt(), source.getLongOutput()}},
    };
}

void writeNotice(rpc::DrainNotice::Builder target, const drain_notice &notice)
{
    target.setEpoch(notice.epoch);
    target.setRevision(notice.revision);
    auto endpoints = target.initEndpoints(static_cast<unsigned>(notice.endpoints.size()));
    for (unsigned i = 0; i < endpoints.size(); ++i) {
        endpoints.set(i, notice.endpoints[i]);
    }
}

drain_notice readNotice(rpc::DrainNotice::Reader source)
{
    drain_notice notice{.epoch = source.getEpoch(), .revision = source.getRevision()};
    for (const auto endpoint : source.getEndpoints()) {
        notice.endpoints.push_back(toString(endpoint));
    }
    return notice;
}

}

void write(rpc::Heartbeat::Builder target, const heartbeat &message)
{
    target.setSequence(message.sequence);
    target.setSender(message.sender);
    target.setAddress(message.address);
    target.setCallerAddress(message.callerAddress);
    target.setFailureDomain(message.failureDomain);
    target.setConfigVersion(message.configVersion);
    target.setRosterVersion(message.rosterVersion);
    target.setDraining(message.draining);
    target.setLoad(static_cast<float>(message.load));
    auto reports = target.initReports(static_cast<unsigned>(message.reports.size()));
    for (unsigned i = 0; i < reports.size(); ++i) {
        writeReport(reports[i], message.reports[i]);
    }
    auto suspects = target.initSuspects(static_cast<unsigned>(message.suspects.size()));
    for (unsigned i = 0; i < suspects.size(); ++i) {
        suspects[i].setFingerprint(message.suspects[i].fingerprint);
        suspects[i].setCrashes(static_cast<std::uint32_t>(message.suspects[i].crashes));
    }
    auto demand = target.initDemand(static_cast<unsigned>(message.demand.size()));
    for (unsigned i = 0; i < demand.size(); ++i) {
        demand[i].setGroup(message.demand[i].group);
        writeDemand(demand[i], message.demand[i]);
    }
    auto draining = target.initDrainingEndpoints(static_cast<unsigned>(message.drainingEndpoints.size()));
    for (unsigned i = 0; i < draining.size(); ++i) {
        draining.set(i, message.drainingEndpoints[i]);
    }
    writeNotice(target.initDrainNotice(), message.orders);
}

heartbeat read(rpc::Heartbeat::Reader source)
{
    heartbeat message{
        .sequence = source.getSequence(),
        .sender = toString(source.getSender()),
        .address = toString(source.getAddress()),
        .callerAddress = toString(source.getCallerAddress()),
        .failureDomain = toString(source.getFailureDomain()),
        .configVersion = source.getConfigVersion(),
        .rosterVersion = source.getRosterVersion(),
        .draining = source.getDraining(),
    };
    for (const auto report : source.getReports()) {
        message.reports.push_back(readReport(report));
    }
    for (const auto suspect : source.getSuspects()) {
        message.suspects.push_back({.fingerprint = toString(suspect.getFingerprint()), .crashes = static_cast<int>(suspect.getCrashes())});
    }
    for (const auto demand : source.getDemand()) {
        message.demand.push_back(readDemand(demand));
    }
    message.load = source.getLoad();
    for (const auto endpoint : source.getDrainingEndpoints()) {
        message.drainingEndpoints.push_back(toString(endpoint));
    }
    message.orders = readNotice(source.getDrainNotice());
    return message;
}

void write(rpc::HeartbeatReply::Builder target, const heartbeat_reply &reply)
{
    target.setConfigVersion(reply.configVersion);
    target.setRosterVersion(reply.rosterVersion);
    target.setDraining(reply.draining);
    writeNotice(target.initDrainNotice(), reply.orders);
}

heartbeat_reply read(rpc::HeartbeatReply::Reader source)
{
    return {.configVersion = source.getConfigVersion(),
            .rosterVersion = source.getRosterVersion(),
            .draining = source.getDraining(),
            .orders = readNotice(source.getDrainNotice())};
}

void write(rpc::UsageRecord::Builder target, const usage_record &record)
{
    target.setRequestId(record.requestId);
    target.setOrganisation(record.organisation);
    target.setRequests(record.figures.requests);
    target.setPromptTokens(record.figures.promptTokens);
    target.setCachedTokens(record.figures.cachedTokens);
    target.setOutputTokens(record.figures.outputTokens);
    target.setServiceCalls(record.figures.serviceCalls);
    target.setWriter(record.writer);
    target.setNumber(record.number);
}

usage_record read(rpc::UsageRecord::Reader source)
{
    return {
        .requestId = toString(source.getRequestId()),
        .organisation = toString(source.getOrganisation()),
        .figures = {
            .requests = source.getRequests(),
            .promptTokens = source.getPromptTokens(),
            .cachedTokens = source.getCachedTokens(),
            .outputTokens = source.getOutputTokens(),
            .serviceCalls = source.getServiceCalls(),
        },
        .writer = toString(source.getWriter()),
        .number = source.getNumber(),
    };
}

}
