package org.sequoiaspindle.core.coordination.routing;

/**
 * Decision on one ticket.
 *
 * @param ticket number of the ticket
 * @param placement what becomes of it
 */
public record Grant(long ticket, Placement placement) {}
