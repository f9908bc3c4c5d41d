import type { DataCentreId, Revision } from '@lavenderturn/types'
import type { EventBase } from '../MeshEvent'
import type { AskConfirmationMessage, ConfirmationMessage } from '../messages/PeerMessage'
import type { RolloutOrder } from '../rollout/RolloutOrder'
import type { Confirmation } from './ConfigurationState'
import type { FleetConfiguration } from './FleetConfiguration'
import type { StorePosition } from './StorePosition'

/** The configuration store was read. Also sent when nothing has changed. @public */
export interface ConfigurationRead extends EventBase {
  readonly slice: 'configuration'
  readonly type: 'configurationRead'
  /** Absent if unchanged. */
  readonly configuration?: FleetConfiguration
  /** Revision that the store had at the reading; absent if it had none that can be read. */
  readonly storedRevision?: Revision
  /** Absent if unchanged. */
  readonly evacuated?: ReadonlySet<DataCentreId>
  /** Roll-outs that operators have ordered; absent if unchanged. */
  readonly rollouts?: readonly RolloutOrder[]
  /** Why the newest configuration cannot be read; absent if it can. It then does not count as confirmed. */
  readonly unreadable?: string
  /** Where the store was at the reading; absent if unknown. */
  readonly position?: StorePosition
  /** Clock readings when the call was sent. The answer cannot be older. */
  readonly confirmed: Confirmation
}

/** Timer: checks how old the confirmation is and queries other nodes. @public */
export interface ConfirmationCheckDue extends EventBase {
  readonly slice: 'configuration'
  readonly type: 'checkDue'
}

/** Another node asks for this node's confirmation. @public */
export interface ConfirmationAsked extends EventBase {
  readonly slice: 'configuration'
  readonly type: 'confirmationAsked'
  readonly message: AskConfirmationMessage
}

/** Another node reports its confirmation. @public */
export interface ConfirmationReported extends EventBase {
  readonly slice: 'configuration'
  readonly type: 'confirmationReported'
  readonly message: ConfirmationMessage
}

/** @public */
export type ConfigurationEvent = ConfigurationRead | ConfirmationAsked | ConfirmationCheckDue | ConfirmationReported
