/** Steps of the demo, in order. Whatever happens, `stopAll` and `report` come last. */
export const DEMO_STEPS = [
  'choosePorts', 'startPlatform', 'startNodes', 'startBackends', 'applyDeclaration', 'awaitReady', 'runRequests',
  'plannedStop', 'stopAll', 'report'
] as const

/** @public */
export type DemoStep = typeof DEMO_STEPS[number]

/** One caller's request of the demo and how it went. @public */
export interface RequestOutcome {
  readonly team: string
  readonly kind: 'lookup' | 'reservation' | 'upload'
  readonly latencyMs: number
  /** `cut`: the connection broke after the request was sent; `wrong`: an answer that is not the request's own. */
  readonly result: 'answered' | 'refused' | 'cut' | 'wrong'
  readonly detail?: string
}
