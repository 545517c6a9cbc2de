package scenario

// defaults is the deployment that a file departs from: the site of the operators, its figures as
// their site file gives them, with work and times scaled as the file says.
func defaults() *File {
	return &File{
		Fleet: Fleet{Regions: one(1), Zones: one(3), Nodes: one(10), Servers: one(10), Cores: 1, MemoryMB: 96, Sockets: 640,
			KnownLateS: 2},
		Server: Server{Cores: 3, Speed: Range{0.85, 1.1}, SpeedCV: Range{0.054, 0.24}, SlotsPerCore: Range{2, 6},
			QueuePerCore: Range{12, 34}, Thrash: Range{0.078, 0.26}, ThrashAt: Range{3.8, 7.9}, ColdFrom: Range{0.17, 0.47},
			ColdS: Range{9.3, 16}, WarmBy: "requests", HandshakeMS: Range{0.4, 1.9}, Connections: 1800, TableTax: Range{0.1, 0.3}, IdleS: 30,
			ErrorRate: Range{0, 0.001}, CellSize: 4, DrainS: 5},
		Net: Net{SameMS: Range{0.1, 0.26}, CrossMS: Range{1.4, 2.6}, FarMS: Range{15, 30}, ClientMS: Range{0.46, 1.1}},
		Clients: Clients{Retries: Range{0, 1.5}, TryShare: Range{0.5, 1}, BackoffMS: Range{60, 480}, Honour: Range{0.33, 0.95},
			NoticeS: Range{1.3, 3.9}, MaxRetryAfter: 1000},
		Load: Load{Inside: Range{0.42, 0.55}, CalmUse: Range{0.17, 0.5}, Full: Range{0.085, 0.24}, Heavy: Range{0.068, 0.14},
			HeavyX: Range{2.3, 4.9}, Spiky: Range{0.11, 0.21}, SpikeX: Range{2.6, 6.4}, SpikeS: Range{0.76, 4.9},
			SpikeEveryS: Range{13, 25}, Skew: Range{0.45, 1.2}, ShiftS: Range{8.1, 25}, Elsewhere: Range{0.2, 0.65},
			GuessCV: Range{0.45, 0.67}, MostUnits: 8},
		Discovery: Discovery{NoticeS: Range{0.64, 4.8}, AddS: Range{0.23, 1.4}, NodeMS: Range{21, 370}},
		Counter:   Counter{PerS: Range{620, 840}, BackS: Range{3.3, 5.9}},
		Rules: Rules{DrainGraceMS: 2000, FallMultiple: 2, FallMS: 1500, SendCap: 5, MeterS: 1, MeterLateMS: Range{430, 1300},
			Probes: true, SecondCopies: true, RetryAfter: true},
	}
}
