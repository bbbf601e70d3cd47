package org.agatestream.server

import kotlinx.serialization.Serializable

/** A request from one VM to another; each area of the server has its own sealed subtype. */
@Serializable
public sealed interface PeerRequest

/** The answer of a VM to a [PeerRequest]. */
@Serializable
public sealed interface PeerResponse
