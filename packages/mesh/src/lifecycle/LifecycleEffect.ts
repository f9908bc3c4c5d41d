/** Announces in each answer to a caller that the connection will be closed. @public */
export interface CloseKeptConnections {
  readonly slice: 'lifecycle'
  readonly type: 'closeKeptConnections'
}

/** Closes all ports and ends the process. @public */
export interface EndProcess {
  readonly slice: 'lifecycle'
  readonly type: 'endProcess'
}

/** @public */
export type LifecycleEffect = CloseKeptConnections | EndProcess
