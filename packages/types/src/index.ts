export * from './ids'
export * from './resultCodes'
export * from './TimerEffect'
