/** Sets what `/readyz` answers. @public */
export interface SetReadiness {
  readonly slice: 'lifecycle'
  readonly type: 'setReadiness'
  readonly ready: boolean
}

/** From now on each answer tells its caller to close the connection. @public */
export interface CloseAfterAnswers {
  readonly slice: 'lifecycle'
  readonly type: 'closeAfterAnswers'
}

/** Asks for `idleReached` as soon as no exchange is open. @public */
export interface AwaitIdle {
  readonly slice: 'lifecycle'
  readonly type: 'awaitIdle'
}

/** Closes the ports; exchanges that began meanwhile finish. @public */
export interface CloseListeners {
  readonly slice: 'lifecycle'
  readonly type: 'closeListeners'
}

/** Ends the process. @public */
export interface Exit {
  readonly slice: 'lifecycle'
  readonly type: 'exit'
  readonly code: number
}

/** @public */
export type LifecycleEffect = AwaitIdle | CloseAfterAnswers | CloseListeners | Exit | SetReadiness
